include "state.thrift"

namespace cpp hyssopdeal.coordination.gen

/// Messages between the replicas of the log, channel `replication`.

struct log_record { 1: i64 index, 2: i64 term, 3: i32 kind, 4: binary payload }

struct term_start { 1: i64 term, 2: i64 first }

struct reconcile_hint {
    1: i64 refused,
    2: i64 base,
    3: i64 base_term,
    4: i64 last,
    5: list<term_start> history
}

struct vote_request { 1: i32 kind, 2: i64 last_index, 3: i64 last_term }
struct vote_reply { 1: i32 kind, 2: i32 answer, 3: reconcile_hint hint }

struct append_request {
    1: i64 prev_index,
    2: i64 prev_term,
    3: i64 commit,
    4: list<log_record> records,
    5: i64 sent
}

struct append_reply {
    1: i32 answer,
    2: i64 match,
    3: i64 sent,
    4: reconcile_hint hint
}

struct snapshot_chunk {
    1: i64 index,
    2: i64 term,
    3: state.replica_set replicas,
    4: i64 total,
    5: i64 crc,
    6: i64 offset,
    7: binary bytes,
    8: i64 sent
}

struct snapshot_reply { 1: i64 index, 2: i64 received, 3: i64 sent }

struct take_over {}

union replica_message_body {
    1: vote_request vote_request_value,
    2: vote_reply vote_reply_value,
    3: append_request append_request_value,
    4: append_reply append_reply_value,
    5: snapshot_chunk snapshot_chunk_value,
    6: snapshot_reply snapshot_reply_value,
    7: take_over take_over_value
}

struct replica_message {
    1: required i64 sender,
    2: required i64 receiver,
    3: required i64 term,
    4: required i64 wall_ms,
    5: required replica_message_body body
}
