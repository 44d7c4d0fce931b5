namespace cpp hyssopdeal.protocol.gen

/// Envelope of every message between hyssopdeal's processes over TCP.
struct peer_frame {
    1: required i32 version,
    2: required i32 channel,
    3: required i64 correlation,
    4: required bool is_reply,
    5: required binary payload
}

/// First message of each side of a link.
struct peer_hello {
    1: required string name,
    2: required binary challenge,
    3: optional bool answers_probes
}

/// Proof that the sender holds the shared key.
struct peer_proof {
    1: required binary mac
}
