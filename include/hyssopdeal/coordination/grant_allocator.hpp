#ifndef HYSSOPDEAL_COORDINATION_GRANT_ALLOCATOR_HPP
#define HYSSOPDEAL_COORDINATION_GRANT_ALLOCATOR_HPP

/// @file
/// Divides the part of each organisation's limits that is not reserved for
/// floors into expiring grants for entries. Runs on the control leader.
///
/// Index: [held_grant] [grant_request] [grant_answer] [settings]
///        [grant_allocator]
///
/// Invariant: the sum of all floors and outstanding grants never exceeds the
/// limit. A grant is outstanding until its node confirms a newer grant or until
/// it has expired on the slowest clock. The granted streams of an unreachable
/// node stay counted until the stream time limit has passed.

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

/// The grant for one organisation on one node.
struct held_grant
{
    std::string organisation;
    allotment amounts;
};

// [grant_request] ------------------------------------------------------------

/// Demand of a node and the grants that it holds.
struct grant_request
{
    std::string node;              ///< Unique per process start.
    std::uint64_t held_term = 0;   ///< Term of the granting leader.
    std::uint64_t held_number = 0; ///< Newest answer applied by the node.
    std::vector<held_grant> held;  ///< Unexpired grants.
    std::vector<limit_demand> demand;
};

// [grant_answer] -------------------------------------------------------------

/// New grants of a node; replaces all grants that it holds.
struct grant_answer
{
    std::uint64_t term = 0;                 ///< Term of the leader.
    std::uint64_t number = 0;               ///< Increases within the term.
    std::chrono::milliseconds valid_for{0}; ///< Since the request was sent.
    std::vector<held_grant> grants;
};

// [settings] -----------------------------------------------------------------

/// Validity and distribution of grants.
struct grant_settings
{
    floor_settings floors;
    std::chrono::milliseconds valid_for{5'000};
    double max_clock_rate_error = 0.01; ///< Between any two clocks.
    std::chrono::milliseconds stream_time_limit{60'000}; ///< Maximum duration.
    double idle_node_share = 0.2; ///< Fraction of an equal share granted
                                  ///< without demand, so that the first
                                  ///< request need not wait for a grant.
};

// [grant_allocator] ----------------------------------------------------------

/// Computes grants while its process is the control leader.
class grant_allocator
{
public:
    /// @param now Start of leadership. Until all grants of earlier leaders have
    ///     expired, nodes are granted at most what they hold.
    /// @param term Term of this leader. Term 1 is the first of a new cluster,
    ///     without earlier grants to wait for.
    grant_allocator(transport::monotonic_time now, std::uint64_t term,
                    grant_settings settings);
    grant_allocator(grant_allocator&&) noexcept;
    grant_allocator& operator=(grant_allocator&&) noexcept;
    ~grant_allocator();

    /// Replaces the contracts in force.
    void set_contracts(
        const std::vector<protocol::organisation_contract>& contracts);

    /// Updates the demand of a node and computes its new grants.
    [[nodiscard]] grant_answer on_request(transport::monotonic_time now,
                                          const grant_request& request);

    /// @return Outstanding grants of an organisation on one node.
    [[nodiscard]] allotment outstanding(transport::monotonic_time now,
                                        const std::string& node,
                                        const std::string& organisation) const;

    /// @return Outstanding grants of an organisation on all nodes.
    [[nodiscard]] allotment outstanding(transport::monotonic_time now,
                                        const std::string& organisation) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
