#ifndef HYSSOPDEAL_STATE_RECORDS_HPP
#define HYSSOPDEAL_STATE_RECORDS_HPP

/// @file
/// What the replicated control state holds, one struct for each kind of record.
///
/// Index: [numbers] [declarations] [moves] [purchases] [leaving] [evacuations]
///        [grants] [ledger] [replicas]
///
/// A revision is the log index of a record's last change: it is never used a
/// second time, not even when a record is deleted and made again.

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::state
{

// [numbers] ------------------------------------------------------------------

using log_index = std::uint64_t;   ///< Position in the log, from 1.
using term_number = std::uint64_t; ///< Election term, from 1.
using revision = std::uint64_t;    ///< Log index of the last change; 0: none.

/// Number on every order to a backend server; a later one is greater.
struct fencing_token
{
    term_number term = 0;      ///< Term of the leader that got it.
    std::uint64_t counter = 0; ///< Grows over all terms.

    auto operator<=>(const fencing_token&) const = default;
};

// [declarations] -------------------------------------------------------------

/// A contract in force.
struct contract_record
{
    protocol::organisation_contract contract; ///< As declared.
    revision changed = 0;                     ///< For compare-and-set.

    bool operator==(const contract_record&) const = default;
};

/// A service in force; `shares` changes with its moves.
struct service_record
{
    protocol::service service; ///< As declared, shares as they are now.
    revision changed = 0;      ///< For compare-and-set.

    bool operator==(const service_record&) const = default;
};

// [moves] --------------------------------------------------------------------

/// What an operator orders: all traffic of a service to a version by a time.
struct move_order
{
    std::string service;                      ///< Existing service.
    std::string version;                      ///< Where the traffic goes.
    transport::wall_time complete_by{};       ///< All traffic moved by then.
    double largest_canary_share = 0.01;       ///< From 0 to 1.
    std::chrono::milliseconds watch{300'000}; ///< Watched after 100%.
    std::string order_id;                     ///< Of the operator.

    bool operator==(const move_order&) const = default;
};

/// Where a move is.
enum class move_phase : std::uint8_t
{
    planned,    ///< Accepted, nothing sent yet.
    loading,    ///< Backend servers load the version.
    shifting,   ///< Shares grow step by step.
    watching,   ///< All traffic moved, the old version still loaded.
    done,       ///< Ended well.
    taken_back, ///< Ended at share zero, with its evidence.
    cancelled   ///< Ended at share zero by an operator.
};

/// @return Whether a move in this phase has ended.
[[nodiscard]] constexpr bool ended(move_phase phase) noexcept
{
    return phase >= move_phase::done;
}

/// How far a move is; replaced as a whole by the leader.
struct move_status
{
    move_phase phase = move_phase::planned;
    std::uint32_t step = 0;             ///< Of the plan, from 0.
    double share = 0;                   ///< New version's share now.
    transport::wall_time step_since{};  ///< When this step began.
    transport::wall_time expected_at{}; ///< When all traffic will be moved.
    std::string evidence;               ///< By route, for operators.
    std::string waits_for;              ///< One sentence; empty: nothing.

    bool operator==(const move_status&) const = default;
};

/// The latest move of a service.
struct move_record
{
    move_order order;                            ///< As ordered.
    std::vector<protocol::version_share> before; ///< Shares when ordered.
    transport::wall_time ordered_at{}; ///< Time of the order's record.
    move_status status;                ///< Set by the leader.
    revision ordered = 0;              ///< Log index of the order.
    revision changed = 0;              ///< For compare-and-set.

    bool operator==(const move_record&) const = default;
};

// [purchases] ----------------------------------------------------------------

/// Where an order to the cloud API is.
enum class purchase_phase : std::uint8_t
{
    ordered, ///< Recorded before it is sent; the answer may be unknown.
    refused, ///< The cloud refused it.
    started, ///< The instance exists.
    released ///< Given back or reclaimed.
};

/// One instance bought, or being bought, from the cloud API.
struct purchase_record
{
    std::string order_id;       ///< Sent to the cloud, unique.
    std::string failure_domain; ///< Where.
    std::string service;        ///< What it runs.
    std::string version;        ///< Which version.
    protocol::price_class price = protocol::price_class::on_demand;
    purchase_phase phase = purchase_phase::ordered;
    std::string instance;              ///< Its name once started.
    std::string address;               ///< `IP:port` once started.
    transport::wall_time ordered_at{}; ///< Time of the order's record.
    revision changed = 0;              ///< For compare-and-set.

    bool operator==(const purchase_record&) const = default;
};

// [leaving] ------------------------------------------------------------------

/// Why an instance is leaving.
enum class leaving_source : std::uint8_t
{
    operator_order,
    reclaim_notice,
    instance_list,
    scale_in
};

/// An instance that gets no new work.
struct leaving_record
{
    std::string instance; ///< Its name.
    leaving_source source = leaving_source::operator_order;
    std::uint64_t incarnation = 0;  ///< Of the instance that leaves.
    transport::wall_time since{};   ///< Time of the record.
    transport::wall_time gone_at{}; ///< When it will be gone; epoch: unknown.
    revision changed = 0;           ///< For compare-and-set.

    bool operator==(const leaving_record&) const = default;
};

// [evacuations] --------------------------------------------------------------

/// A failure domain whose servers get no new requests, or did once. The record
/// stays when the order is withdrawn, so that followers of earlier versions,
/// which know no removals of this kind, can still read all others.
struct evacuation_record
{
    std::string failure_domain;      ///< Where.
    transport::wall_time since{};    ///< Time of the order's record.
    transport::wall_time ended_at{}; ///< When withdrawn; epoch: in force.
    revision changed = 0;            ///< For compare-and-set.

    bool operator==(const evacuation_record&) const = default;

    /// @return Whether the order is in force.
    [[nodiscard]] bool in_force() const noexcept
    {
        return ended_at == transport::wall_time{};
    }
};

// [grants] -------------------------------------------------------------------

/// A part of an organisation's limits, held by one entry for a while.
struct limit_grant
{
    std::string entry;                    ///< Who holds it.
    double requests_per_second = 0;       ///< Part of the contract's rate.
    double tokens_per_second = 0;         ///< Part of the contract's rate.
    std::uint32_t concurrent_streams = 0; ///< Part of the contract's cap.
    transport::wall_time expires_at{};    ///< Void from then on.

    bool operator==(const limit_grant&) const = default;
};

/// All grants of one organisation.
struct grant_record
{
    std::string organisation;
    std::vector<limit_grant> grants; ///< One for each entry at most.
    revision changed = 0;            ///< For compare-and-set.

    bool operator==(const grant_record&) const = default;
};

// [ledger] -------------------------------------------------------------------

/// What is known of the call of an idempotency key.
enum class claim_phase : std::uint8_t
{
    open,     ///< Claimed; dispatched or about to be: may have run.
    finished, ///< The outcome is recorded.
    released  ///< Surely not dispatched; the key is free for a new claim.
};

/// One header of a recorded answer.
struct outcome_header
{
    std::string name;
    std::string value;

    bool operator==(const outcome_header&) const = default;
};

/// A recorded answer, replayed to a repeat.
struct call_outcome
{
    std::uint32_t status = 0; ///< HTTP status.
    std::vector<outcome_header> headers;
    std::string body;      ///< At most max_outcome_body_bytes.
    bool body_cut = false; ///< The body was longer, or had to make room.

    bool operator==(const call_outcome&) const = default;
};

/// Longest answer body that the ledger holds, bytes.
inline constexpr std::size_t max_outcome_body_bytes = 65'536;

/// One idempotency key of one organisation.
struct claim_record
{
    std::string organisation;
    std::string key;
    std::string request_digest; ///< Of method, path and body.
    std::string claimant;       ///< Entry that may dispatch.
    std::uint64_t number = 0;   ///< Log index of the claim.
    std::uint64_t nonce = 0;    ///< Of the claim command.
    claim_phase phase = claim_phase::open;
    transport::wall_time claimed_at{};  ///< Time of the claim's record.
    transport::wall_time dispatch_by{}; ///< No dispatch from then on.
    transport::wall_time expires_at{};  ///< Kept until then.
    call_outcome outcome;               ///< Meaningful once finished.

    bool operator==(const claim_record&) const = default;
};

// [replicas] -----------------------------------------------------------------

/// Part that a replica takes in the log.
enum class replica_role : std::uint8_t
{
    learner, ///< Gets the log, does not vote.
    voter
};

/// One control replica.
struct replica_member
{
    std::uint64_t id = 0;       ///< Never used again after a lost disk.
    std::string name;           ///< Peer name.
    std::string address;        ///< `IP:port` of its peer hub.
    std::string operators;      ///< `IP:port` of its operators' API.
    std::string failure_domain; ///< Where it runs.
    replica_role role = replica_role::voter;

    bool operator==(const replica_member&) const = default;
};

/// All control replicas, from one log index on.
struct replica_set
{
    std::vector<replica_member> members; ///< By id.
    std::uint64_t next_id = 1;           ///< All ids below were used.

    bool operator==(const replica_set&) const = default;
};

} // namespace hyssopdeal::state

#endif
