namespace cpp hyssopdeal.protocol.gen

/// What is known of a member or of an instance on the platform's list.
struct wire_member {
    1: required string name,
    2: optional string gossip_address,
    3: optional string peer_address,
    4: optional string failure_domain,
    5: required i32 kind,
    6: required i32 state,
    7: required i64 incarnation
}

/// Digest of the entries of one bucket of the member table.
struct wire_bucket_digest {
    1: required i32 bucket,
    2: required i64 digest
}

/// One datagram of the membership protocol.
struct wire_gossip {
    1: required i32 version,
    2: required i32 kind,
    3: required string sender,
    4: required i64 sequence,
    5: required i64 applied_index,
    6: required i64 highest_index,
    7: required i64 table_digest,
    8: optional string target,
    9: optional string target_address,
    10: optional list<wire_member> updates,
    11: optional list<wire_bucket_digest> buckets
}
