#ifndef HYSSOPDEAL_COORDINATION_VERSION_GUARD_HPP
#define HYSSOPDEAL_COORDINATION_VERSION_GUARD_HPP

/// @file
/// An entry's own protection against a bad version: one that fails in a row
/// here loses its share here at once, without the control leader.
///
/// Index: [settings] [version_guard]

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/version_summary.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// When a guard trips and for how long.
struct version_guard_settings
{
    std::uint32_t failures_in_a_row = 4;    ///< On one route; trips the guard.
    double peer_failure_limit = 0.5;        ///< Others failing more: no trip.
    double memory = 0.05;                   ///< Weight of the newest answer.
    std::chrono::milliseconds hold{60'000}; ///< Without share; then tried
                                            ///< again.
};

// [version_guard] ------------------------------------------------------------

/// Watches the versions of one service on one entry. Used by one thread. Tell
/// it only of answers that a backend server began or may have run; a refusal
/// before running or the announced end of an instance is not a version's fault.
class version_guard
{
public:
    explicit version_guard(version_guard_settings settings = {});
    version_guard(version_guard&&) noexcept;
    ~version_guard();

    /// Takes in how an answer ended. A failure counts against the version
    /// unless all other versions fail here as well: then the fault lies
    /// elsewhere.
    ///
    /// @return The trip, when this answer caused one.
    std::vector<guard_trip> on_answer(transport::monotonic_time now,
                                      std::string_view version,
                                      std::string_view route,
                                      answer_kind answer);

    /// Forgets a version's trips when the control leader changed its share to
    /// zero or ordered it anew.
    void on_new_move(std::string_view version);

    /// Shares as this entry uses them. Only the version that a move brings in
    /// is guarded: the last of two or more, as move_controller writes them.
    /// When it is out, its part goes to the others in proportion, or in equal
    /// parts when they have no share.
    ///
    /// @param declared Shares in force.
    [[nodiscard]] std::vector<protocol::version_share> effective_shares(
        transport::monotonic_time now,
        const std::vector<protocol::version_share>& declared) const;

    /// @return Trips in force, for the next report.
    [[nodiscard]] std::vector<guard_trip>
    trips(transport::monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
