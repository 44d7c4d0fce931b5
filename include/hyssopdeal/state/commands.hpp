#ifndef HYSSOPDEAL_STATE_COMMANDS_HPP
#define HYSSOPDEAL_STATE_COMMANDS_HPP

/// @file
/// The commands of the replicated control state, their results, and their
/// encoding as log records.
///
/// Index: [declarations] [moves] [fleet] [evacuations] [grants] [ledger]
///        [command] [results] [encoding]

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <hyssopdeal/state/records.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::state
{

// [declarations] -------------------------------------------------------------

/// Writes a contract if its revision is the expected one. Result: write_result.
struct put_contract
{
    protocol::organisation_contract contract;
    revision expected = 0; ///< 0: must not exist.
};

/// Deletes a contract, its grants included. Result: write_result.
struct delete_contract
{
    std::string organisation;
    revision expected = 0;
};

/// Writes a service. Empty shares keep those in force; while a move runs they
/// must be empty. Result: write_result.
struct put_service
{
    protocol::service service;
    revision expected = 0; ///< 0: must not exist.
};

/// Deletes a service without a running move. Result: write_result.
struct delete_service
{
    std::string service;
    revision expected = 0;
};

// [moves] --------------------------------------------------------------------

/// Orders a move. Refused while another move of the service runs.
/// Result: write_result.
struct order_move
{
    move_order order;
    revision expected = 0; ///< Of the service's move record; 0: none yet.
};

/// Replaces a move's status and, when shares are given, the service's shares,
/// both or none. Result: write_result of the move record.
struct update_move
{
    std::string service;
    move_status status;
    std::vector<protocol::version_share> shares; ///< Empty: unchanged.
    revision expected = 0;                       ///< Of the move record.
};

/// Sets a service's shares outside of a move. Result: write_result.
struct set_shares
{
    std::string service;
    std::vector<protocol::version_share> shares;
    revision expected = 0; ///< Of the service record.
};

/// Ends a running move: the version's share goes to those it came from.
/// Result: write_result.
struct cancel_move
{
    std::string service;
    revision expected = 0; ///< Of the move record.
};

// [fleet] --------------------------------------------------------------------

/// Takes the next fencing token. Result: fence_result.
struct allocate_fence
{};

/// Records an order to the cloud before it is sent; the same order id gives
/// the first record again. Result: purchase_result.
struct order_purchase
{
    purchase_record purchase;
};

/// Replaces phase, instance and address. Result: write_result.
struct update_purchase
{
    std::string order_id; ///< Of the purchase.
    purchase_phase phase = purchase_phase::ordered;
    std::string instance;
    std::string address;
    revision expected = 0;
};

/// Marks an instance as leaving; the earliest time to be gone wins.
/// Result: write_result, `applied` also when it was leaving already.
struct set_leaving
{
    std::string instance;
    leaving_source source = leaving_source::operator_order;
    std::uint64_t incarnation = 0;
    transport::wall_time gone_at{}; ///< Epoch: unknown.
};

/// Forgets an instance that is gone. Result: write_result.
struct clear_leaving
{
    std::string instance;
    revision expected = 0;
};

// [evacuations] --------------------------------------------------------------

/// Expected revision of an order that replaces any.
inline constexpr revision any_revision = ~revision{0};

/// Evacuates a failure domain. Result: write_result, `unchanged` when it is
/// evacuated already, whatever revision is expected: an accepted order is
/// acknowledged again.
struct order_evacuation
{
    std::string failure_domain;
    revision expected = any_revision;
};

/// Ends an evacuation. Result: write_result, `unchanged` when the domain is not
/// evacuated.
struct withdraw_evacuation
{
    std::string failure_domain;
    revision expected = any_revision;
};

// [grants] -------------------------------------------------------------------

/// Replaces all grants of an organisation. Result: write_result.
struct set_grants
{
    std::string organisation;
    std::vector<limit_grant> grants;
    revision expected = 0;
};

// [ledger] -------------------------------------------------------------------

/// Claims an idempotency key. Result: claim_result.
struct claim_key
{
    std::string organisation;
    std::string key;
    std::string request_digest;
    std::string claimant;
    std::uint64_t nonce = 0; ///< Same again only when resent.
    std::chrono::milliseconds dispatch_limit{5'000}; ///< From the record.
    std::chrono::milliseconds retention{86'400'000}; ///< From the record.
};

/// Gives a claim back that was surely not dispatched. Result: write_result.
struct release_claim
{
    std::string organisation;
    std::string key;
    std::uint64_t number = 0; ///< Of the claim.
};

/// Records how a claimed call ended. Result: write_result.
struct record_outcome
{
    std::string organisation;
    std::string key;
    std::uint64_t number = 0; ///< Of the claim.
    call_outcome outcome;
};

// [command] ------------------------------------------------------------------

/// Any change of the control state.
using command_body =
    std::variant<put_contract, delete_contract, put_service, delete_service,
                 order_move, update_move, set_shares, cancel_move,
                 allocate_fence, order_purchase, update_purchase, set_leaving,
                 clear_leaving, set_grants, claim_key, release_claim,
                 record_outcome, order_evacuation, withdraw_evacuation>;

/// A command as it is proposed.
struct command
{
    transport::wall_time at{}; ///< Leader's time; set by control_node.
    std::string order_id;      ///< Operator's; empty: not answered again.
    command_body body;
};

// [results] ------------------------------------------------------------------

/// How a write ended.
enum class write_status : std::uint8_t
{
    applied,
    unchanged, ///< The record holds this content already.
    conflict,  ///< The revision was not the expected one.
    missing,   ///< What it is about does not exist.
    refused    ///< Not allowed now; see the text.
};

/// Result of a write of one record.
struct write_result
{
    write_status status = write_status::applied;
    revision now = 0; ///< The record's revision afterwards; 0: none.
    std::string text; ///< Why it was refused.

    bool operator==(const write_result&) const = default;
};

/// Result of allocate_fence.
struct fence_result
{
    fencing_token token;

    bool operator==(const fence_result&) const = default;
};

/// Result of order_purchase.
struct purchase_result
{
    write_status status = write_status::applied; ///< unchanged: resent.
    purchase_record purchase;                    ///< The first record.

    bool operator==(const purchase_result&) const = default;
};

/// How a claim ended.
enum class claim_status : std::uint8_t
{
    granted,  ///< This claimant, and nobody else, may dispatch once.
    finished, ///< Answer with the outcome.
    open,     ///< Another claim is open: may have run.
    mismatch, ///< The key was used with another request.
    full      ///< The ledger has no room: not run.
};

/// Result of claim_key.
struct claim_result
{
    claim_status status = claim_status::granted;
    claim_record claim; ///< The one in force; default when full.

    bool operator==(const claim_result&) const = default;
};

using result_body =
    std::variant<write_result, fence_result, purchase_result, claim_result>;

/// What applying a command gave.
struct command_result
{
    log_index index = 0; ///< Of the record that took effect.
    result_body body;

    bool operator==(const command_result&) const = default;
};

// [encoding] -----------------------------------------------------------------

/// Version of the commands and snapshots that this program writes; it reads
/// this one and all before it.
inline constexpr std::int32_t schema_version = 1;

/// @return The command as the payload of a log record.
[[nodiscard]] std::string encode(const command& value);

/// @return The command, or `corrupt` when the payload is not understood or has
///     a later schema version.
[[nodiscard]] transport::result<command> decode_command(std::string_view bytes);

/// @return The result as bytes, to answer another process.
[[nodiscard]] std::string encode(const command_result& value);

/// @return The result, or `corrupt`.
[[nodiscard]] transport::result<command_result>
decode_result(std::string_view bytes);

/// @return The replica set as the payload of a log record.
[[nodiscard]] std::string encode(const replica_set& value);

/// @return The replica set, or `corrupt`.
[[nodiscard]] transport::result<replica_set>
decode_replica_set(std::string_view bytes);

} // namespace hyssopdeal::state

#endif
