namespace cpp hyssopdeal.coordination.gen

/// Channel `learning`: committed declarations to entries.

/// Asks for what is newer, and for pushes from now on.
struct follow_request {
    1: required string name,
    2: required i64 applied
}

/// Answer to follow_request, and pushed after each change.
struct follow_update {
    1: required i64 source_applied,
    2: binary delta
}
