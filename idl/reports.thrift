namespace cpp hyssopdeal.protocol.gen

/// Answers of one version on one route at one load, over one report period.
struct version_cell {
    1: required string version,
    2: required string route,
    3: required i32 load,
    4: required i64 requests,
    5: required i64 failed,
    6: required i64 broken,
    7: required i64 empty,
    8: required list<i64> first_token,
    9: required list<i64> between_tokens
}

/// A version that an entry's own guard has taken out there.
struct guard_trip {
    1: required string version,
    2: required string route,
    3: required i64 failures_in_a_row
}

/// What one entry saw of one service since its previous report.
struct version_report {
    1: required i32 schema,
    2: required string entry,
    3: required i64 incarnation,
    4: required i64 sequence,
    5: required string service_name,
    6: required list<version_cell> cells,
    7: required list<guard_trip> trips,
    8: required i64 offered_requests,
    9: required i64 interactive_requests,
    10: required i64 busy_us,
    11: required i64 period_us
}
