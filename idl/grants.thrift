namespace cpp hyssopdeal.protocol.gen

/// Part of an organisation's limits.
struct allotment_wire {
    1: required double requests_per_second,
    2: required double request_burst,
    3: required double tokens_per_second,
    4: required double token_burst,
    5: required double concurrent_streams
}

/// A grant of one organisation.
struct held_grant_wire {
    1: required string organisation,
    2: required allotment_wire amounts
}

/// What an organisation asked of a node lately.
struct limit_demand_wire {
    1: required string organisation,
    2: required double requests_per_second,
    3: required double tokens_per_second,
    4: required i32 open_streams,
    5: required i32 refused_streams
}

/// An entry's request to the control leader.
struct grant_request_wire {
    1: required string node,
    2: required i64 held_term,
    3: required i64 held_number,
    4: required list<held_grant_wire> held,
    5: required list<limit_demand_wire> demand
}

/// The leader's answer; a replica that does not lead answers with term 0.
struct grant_answer_wire {
    1: required i64 term,
    2: required i64 number,
    3: required i64 valid_for_ms,
    4: required list<held_grant_wire> grants
}
