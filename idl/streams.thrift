namespace cpp hyssopdeal.protocol.gen

/// What is needed to go on with a stream anywhere.
struct stream_origin_wire {
    1: required string stream,
    2: required string organisation,
    3: required string service_name,
    4: required string version,
    5: required string target,
    6: required binary body,
    7: required i32 priority,
    8: required double prompt_tokens,
    9: required i32 max_new_tokens
}

/// One event of an answer.
struct stream_event_wire {
    1: required i64 number,
    2: required i32 kind,
    3: required binary text,
    4: required binary data
}

/// A stream, or the part of it that is copied now.
struct stream_copy_wire {
    1: required stream_origin_wire origin,
    2: required string owner,
    3: required i64 epoch,
    4: required i64 attempt_high,
    5: required i64 attempt_low,
    6: required string server,
    7: required i64 sequence,
    8: required list<stream_event_wire> events
}

/// What one entry instance asks of another about a stream; see
/// coordination/stream_wire.hpp for the kinds.
struct stream_question_wire {
    1: required i32 kind,
    2: required string stream,
    3: required string organisation,
    4: required string asker,
    5: required i64 epoch,
    6: optional stream_copy_wire copy,
    /// Of a copied part: number of the owner's last event so far.
    7: optional i64 up_to
}

/// The answer: outcome 0, or one more than the reason of the refusal.
struct stream_answer_wire {
    1: required i32 outcome,
    2: required string text,
    3: required i64 copied_to,
    4: required i64 epoch,
    5: optional stream_copy_wire copy
}
