namespace cpp hyssopdeal.state.gen

/// Records and commands of the replicated control state. A field's number is
/// never used again; a new field is optional. Times are milliseconds.

struct fencing_token { 1: i64 term, 2: i64 counter }

struct organisation_contract {
    1: string organisation,
    2: list<string> key_sha256,
    3: list<string> services,
    4: double requests_per_second,
    5: double request_burst,
    6: double tokens_per_second,
    7: double token_burst,
    8: i64 concurrent_streams,
    9: i32 priority_ceiling,
    10: i64 first_token_target_ms,
    11: double retry_ratio
}

struct route {
    1: string name,
    2: string method,
    3: string path_prefix,
    4: i32 repeats,
    5: i32 priority,
    6: i64 time_limit_ms
}

struct backend_server {
    1: string name,
    2: string address,
    3: string failure_domain,
    4: string version,
    5: i64 slots,
    6: double prefill_tokens_per_second,
    7: double decode_tokens_per_second,
    8: i32 price,
    9: double price_per_hour,
    10: bool checks_orders
}

struct version_share { 1: string version, 2: double share }

struct service_declaration {
    1: string name,
    2: i32 kind,
    3: list<route> routes,
    4: list<backend_server> servers,
    5: list<version_share> shares,
    6: i64 first_token_target_ms
}

struct contract_record { 1: organisation_contract contract, 2: i64 changed }

struct service_record { 1: service_declaration declaration, 2: i64 changed }

struct move_order {
    1: string service_name,
    2: string version,
    3: i64 complete_by_ms,
    4: double largest_canary_share,
    5: i64 watch_ms,
    6: string order_id
}

struct move_status {
    1: i32 phase,
    2: i64 step,
    3: double share,
    4: i64 step_since_ms,
    5: i64 expected_at_ms,
    6: string evidence,
    7: string waits_for
}

struct move_record {
    1: move_order order,
    2: list<version_share> before,
    3: i64 ordered_at_ms,
    4: move_status status,
    5: i64 ordered,
    6: i64 changed
}

struct purchase_record {
    1: string order_id,
    2: string failure_domain,
    3: string service_name,
    4: string version,
    5: i32 price,
    6: i32 phase,
    7: string instance,
    8: string address,
    9: i64 ordered_at_ms,
    10: i64 changed
}

struct leaving_record {
    1: string instance,
    2: i32 source,
    3: i64 incarnation,
    4: i64 since_ms,
    5: i64 gone_at_ms,
    6: i64 changed
}

/// ended_ms is 0 while the evacuation is in force.
struct evacuation_record {
    1: string failure_domain,
    2: i64 since_ms,
    3: i64 ended_ms,
    4: i64 changed
}

struct limit_grant {
    1: string entry,
    2: double requests_per_second,
    3: double tokens_per_second,
    4: i64 concurrent_streams,
    5: i64 expires_at_ms
}

struct grant_record {
    1: string organisation,
    2: list<limit_grant> grants,
    3: i64 changed
}

struct outcome_header { 1: string name, 2: string value }

struct call_outcome {
    1: i64 status,
    2: list<outcome_header> headers,
    3: binary body,
    4: bool body_cut
}

struct claim_record {
    1: string organisation,
    2: string key,
    3: string request_digest,
    4: string claimant,
    5: i64 number,
    6: i32 phase,
    7: i64 claimed_at_ms,
    8: i64 dispatch_by_ms,
    9: i64 expires_at_ms,
    10: call_outcome outcome,
    11: i64 nonce
}

struct replica_member {
    1: i64 id,
    2: string name,
    3: string address,
    4: string operators,
    5: string failure_domain,
    6: i32 role
}

struct replica_set { 1: list<replica_member> members, 2: i64 next_id }

struct put_contract { 1: organisation_contract contract, 2: i64 expected }
struct delete_contract { 1: string organisation, 2: i64 expected }
struct put_service { 1: service_declaration declaration, 2: i64 expected }
struct delete_service { 1: string service_name, 2: i64 expected }
struct order_move { 1: move_order order, 2: i64 expected }
struct update_move {
    1: string service_name,
    2: move_status status,
    3: list<version_share> shares,
    4: i64 expected
}
struct set_shares {
    1: string service_name,
    2: list<version_share> shares,
    3: i64 expected
}
struct cancel_move { 1: string service_name, 2: i64 expected }
struct allocate_fence {}
struct order_purchase { 1: purchase_record purchase }
struct update_purchase {
    1: string order_id,
    2: i32 phase,
    3: string instance,
    4: string address,
    5: i64 expected
}
struct set_leaving {
    1: string instance,
    2: i32 source,
    3: i64 incarnation,
    4: i64 gone_at_ms
}
struct clear_leaving { 1: string instance, 2: i64 expected }
struct order_evacuation { 1: string failure_domain, 2: i64 expected }
struct withdraw_evacuation { 1: string failure_domain, 2: i64 expected }
struct set_grants {
    1: string organisation,
    2: list<limit_grant> grants,
    3: i64 expected
}
struct claim_key {
    1: string organisation,
    2: string key,
    3: string request_digest,
    4: string claimant,
    5: i64 nonce,
    6: i64 dispatch_limit_ms,
    7: i64 retention_ms
}
struct release_claim { 1: string organisation, 2: string key, 3: i64 number }
struct record_outcome {
    1: string organisation,
    2: string key,
    3: i64 number,
    4: call_outcome outcome
}

union command_body {
    1: put_contract put_contract_value,
    2: delete_contract delete_contract_value,
    3: put_service put_service_value,
    4: delete_service delete_service_value,
    5: order_move order_move_value,
    6: update_move update_move_value,
    7: set_shares set_shares_value,
    8: cancel_move cancel_move_value,
    9: allocate_fence allocate_fence_value,
    10: order_purchase order_purchase_value,
    11: update_purchase update_purchase_value,
    12: set_leaving set_leaving_value,
    13: clear_leaving clear_leaving_value,
    14: set_grants set_grants_value,
    15: claim_key claim_key_value,
    16: release_claim release_claim_value,
    17: record_outcome record_outcome_value,
    18: order_evacuation order_evacuation_value,
    19: withdraw_evacuation withdraw_evacuation_value
}

struct command {
    1: required i32 schema_version,
    2: required i64 at_ms,
    3: required string order_id,
    4: required command_body body
}

struct write_result { 1: i32 status, 2: i64 now, 3: string text }
struct fence_result { 1: fencing_token token }
struct purchase_result { 1: i32 status, 2: purchase_record purchase }
struct claim_result { 1: i32 status, 2: claim_record claim }

union result_body {
    1: write_result write_value,
    2: fence_result fence_value,
    3: purchase_result purchase_value,
    4: claim_result claim_value
}

struct command_result { 1: required i64 index, 2: required result_body body }

struct removal { 1: i32 kind, 2: string name, 3: i64 changed }

/// All changes of declarations after one log index.
struct declaration_delta {
    1: required i32 schema_version,
    2: required i64 from_index,
    3: required i64 to_index,
    4: list<contract_record> contracts,
    5: list<service_record> services,
    6: list<leaving_record> leaving,
    7: list<removal> removals,
    8: i64 removals_from,
    9: bool whole,
    10: list<evacuation_record> evacuations
}

struct order_answer {
    1: string order_id,
    2: i64 command_digest,
    3: command_result answer
}

struct snapshot {
    1: required i32 schema_version,
    2: required i64 applied_index,
    3: required i64 applied_term,
    4: required i64 time_ms,
    5: list<contract_record> contracts,
    6: list<service_record> services,
    7: list<move_record> moves,
    8: list<purchase_record> purchases,
    9: list<leaving_record> leaving,
    10: list<grant_record> grants,
    11: replica_set replicas,
    12: i64 fence_counter,
    13: binary claims,
    14: list<order_answer> order_answers,
    15: list<removal> removals,
    16: i64 removals_from,
    17: list<evacuation_record> evacuations
}
