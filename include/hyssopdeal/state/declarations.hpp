#ifndef HYSSOPDEAL_STATE_DECLARATIONS_HPP
#define HYSSOPDEAL_STATE_DECLARATIONS_HPP

/// @file
/// The part of the control state that entries follow, and the deltas that
/// carry it: all records changed after an index, whoever holds them.
///
/// Index: [removals] [declarations] [declaration_delta] [control_view]
///
/// A delta is made from the tables alone, so that a replica, a relay and a
/// restarted process all serve one, and hundreds of missed changes of one
/// record cost one record.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/state/records.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::state
{

/// Records of one kind by name.
template <class Record>
using record_table = std::map<std::string, Record, std::less<>>;

// [removals] -----------------------------------------------------------------

/// Kind of a removed record.
enum class removal_kind : std::uint8_t
{
    contract,
    service,
    leaving
};

/// A record that is no more.
struct removal
{
    removal_kind kind = removal_kind::contract;
    std::string name;
    log_index changed = 0; ///< Index of the removal.

    bool operator==(const removal&) const = default;
};

/// Removals remembered; a follower that missed more gets everything.
inline constexpr std::size_t max_removals = 4'096;

// [declarations] -------------------------------------------------------------

/// What entries follow.
struct declarations
{
    log_index applied = 0;                       ///< Log index it reflects.
    record_table<contract_record> contracts;     ///< By organisation.
    record_table<service_record> services;       ///< By name.
    record_table<leaving_record> leaving;        ///< By instance.
    record_table<evacuation_record> evacuations; ///< By failure domain.
    std::vector<removal> removals;               ///< Oldest first.
    log_index removals_from = 0; ///< All removals after it are remembered.

    bool operator==(const declarations&) const = default;

    /// Remembers a removal, forgetting the oldest beyond max_removals.
    void remember(removal value);
};

// [declaration_delta] --------------------------------------------------------

/// Whether a delta holds changes or everything.
enum class delta_kind : std::uint8_t
{
    changes, ///< Records changed after `from`.
    whole    ///< All records; replaces what the receiver has.
};

/// Changes of the declarations from one index to another.
struct declaration_delta
{
    delta_kind kind = delta_kind::changes;
    log_index from = 0; ///< Receiver must have applied at least this.
    log_index to = 0;   ///< Receiver has applied this afterwards.
    std::vector<contract_record> contracts;
    std::vector<service_record> services;
    std::vector<leaving_record> leaving;
    std::vector<evacuation_record> evacuations;
    std::vector<removal> removals;
    log_index removals_from = 0;

    bool operator==(const declaration_delta&) const = default;
};

/// Makes the delta that brings a follower up to date.
///
/// @param follower Index that the follower has applied; 0: nothing.
[[nodiscard]] declaration_delta delta_since(const declarations& source,
                                            log_index follower);

/// How a delta was taken in.
enum class delta_outcome
{
    applied,
    stale, ///< It ends at or below what is applied: nothing changed.
    gap    ///< It begins above what is applied: nothing changed.
};

/// Takes a delta in; never applies a lower index.
delta_outcome apply_delta(declarations& target, const declaration_delta& delta);

/// @return The delta as bytes.
[[nodiscard]] std::string encode(const declaration_delta& value);

/// @return The delta, or `corrupt`.
[[nodiscard]] transport::result<declaration_delta>
decode_delta(std::string_view bytes);

// [control_view] -------------------------------------------------------------

/// @return What an entry's request path reads.
[[nodiscard]] protocol::control_view make_view(const declarations& source);

} // namespace hyssopdeal::state

#endif
