#ifndef HYSSOPDEAL_COORDINATION_GRANT_ALLOCATOR_HPP
#define HYSSOPDEAL_COORDINATION_GRANT_ALLOCATOR_HPP

/// @file
/// Splits what the floors leave of each organisation's limits into expiring
/// grants for entries; runs on the control leader.
///
/// Index: [held_grant] [grant_request] [grant_answer] [settings]
///        [grant_allocator]
///
/// Invariant: floors plus all grants that a node may still use never pass the
/// limit. A grant counts until its node has confirmed a newer one or it has
/// expired on the slowest clock; open streams of a silent node count until
/// they must have ended.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/limiter.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [held_grant] ---------------------------------------------------------------

/// A grant of one organisation to one node.
struct held_grant
{
    std::string organisation;
    allotment amounts;
};

// [grant_request] ------------------------------------------------------------

/// What a node asks for, with what it holds now.
struct grant_request
{
    std::string node;              ///< Unique for each start of a process.
    std::uint64_t held_term = 0;   ///< Of the leader that granted it.
    std::uint64_t held_number = 0; ///< Newest answer in force on the node.
    std::vector<held_grant> held;  ///< Unexpired.
    std::vector<limit_demand> demand;
};

// [grant_answer] -------------------------------------------------------------

/// New grants of a node; replaces all that it holds.
struct grant_answer
{
    std::uint64_t term = 0;                 ///< Of the leader.
    std::uint64_t number = 0;               ///< Rises within the term.
    std::chrono::milliseconds valid_for{0}; ///< From sending the request.
    std::vector<held_grant> grants;
};

// [settings] -----------------------------------------------------------------

/// Times and split.
struct grant_settings
{
    floor_settings floors;
    std::chrono::milliseconds valid_for{5'000};
    double max_clock_rate_error = 0.01; ///< Between any two clocks.
    std::chrono::milliseconds stream_time_limit{60'000}; ///< Longest answer.
    double unasked_share = 0.2; ///< For a node without demand, of its equal
                                ///< part; keeps the first request quick.
};

// [grant_allocator] ----------------------------------------------------------

/// Decides grants while its process leads.
class grant_allocator
{
public:
    /// @param now Start of the leadership: until every earlier leader's grant
    ///     has expired, nodes only keep what they hold.
    /// @param term Of this leader; 1 is the first of a new cluster, which has
    ///     nothing to wait for.
    grant_allocator(transport::monotonic_time now, std::uint64_t term,
                    grant_settings settings);
    grant_allocator(grant_allocator&&) noexcept;
    grant_allocator& operator=(grant_allocator&&) noexcept;
    ~grant_allocator();

    /// Takes over the contracts in force.
    void set_contracts(
        const std::vector<protocol::organisation_contract>& contracts);

    /// Answers a node.
    [[nodiscard]] grant_answer on_request(transport::monotonic_time now,
                                          const grant_request& request);

    /// @return What a node may still use of an organisation, as counted here.
    [[nodiscard]] allotment counted(transport::monotonic_time now,
                                    const std::string& node,
                                    const std::string& organisation) const;

    /// @return All nodes' counted grants of an organisation.
    [[nodiscard]] allotment counted(transport::monotonic_time now,
                                    const std::string& organisation) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
