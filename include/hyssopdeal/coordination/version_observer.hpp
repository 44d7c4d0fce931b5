#ifndef HYSSOPDEAL_COORDINATION_VERSION_OBSERVER_HPP
#define HYSSOPDEAL_COORDINATION_VERSION_OBSERVER_HPP

/// @file
/// Sums up on an entry how each version of a service answers, and makes the
/// periodic reports to the control leader.
///
/// Index: [version_observation] [version_observer]

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/version_summary.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [version_observation] ------------------------------------------------------

/// One answer that ended on this entry.
struct version_observation
{
    std::string service;
    std::string version;
    std::string route;
    load_bucket load = load_bucket::light;      ///< When it was sent.
    answer_kind answer = answer_kind::whole;    ///< How it ended.
    std::chrono::microseconds between_tokens{}; ///< Mean gap; 0: unknown.
    std::chrono::microseconds busy{};           ///< Slot time used.
};

// [version_observer] ---------------------------------------------------------

/// Collects observations between reports. Used by one thread: each worker
/// thread of an entry has its own, reporting under a name of its own.
class version_observer
{
public:
    /// @param entry Name that the reports carry.
    /// @param incarnation Grows with each restart of the entry.
    version_observer(std::string entry, std::uint64_t incarnation,
                     transport::monotonic_time now);
    version_observer(version_observer&&) noexcept;
    ~version_observer();

    /// Counts a request that came in, before admission.
    void on_offered(std::string_view service,
                    protocol::priority_class priority);

    /// Counts a first token as soon as it comes, so that a slow version is
    /// seen before its answers end. Call it as well, with the time so far,
    /// when a request is given up without one.
    void on_first_token(std::string_view service, std::string_view version,
                        std::string_view route, load_bucket load,
                        std::chrono::microseconds after);

    /// Counts the mean time between the tokens of an answer while it goes on;
    /// leave `version_observation::between_tokens` empty for this answer.
    void on_token_gap(std::string_view service, std::string_view version,
                      std::string_view route, load_bucket load,
                      std::chrono::microseconds mean_gap);

    /// Counts an answer that ended.
    void on_answer(const version_observation& seen);

    /// Takes all that was seen since the last call.
    ///
    /// @return One report for each service that had requests or answers.
    [[nodiscard]] std::vector<version_report>
    take_reports(transport::monotonic_time now);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
