#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_VERSION_SPLIT_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_VERSION_SPLIT_HPP

/// @file
/// Splits a service's requests between its current versions and a new one
/// during a progressive rollout, and counts the outcomes per version. A faulty
/// new version gets no more requests than the leader's latest order permits,
/// and none once that order has expired. Performs no I/O.
///
/// Index: [settings] [version_choice] [version_split]

#include <chrono>
#include <map>
#include <set>
#include <string>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct version_split_settings
{
    /// While a rollout runs, its new version gets no requests if the leader's
    /// order is older than this. Covers four reports and their answers.
    std::chrono::milliseconds order_validity{1'500};
};

// [version_choice] -----------------------------------------------------------

/// The versions that are eligible for one attempt of a request.
struct version_choice
{
    std::string target; ///< New version; empty: every version is eligible.
    /// True: only the target is eligible. False: all versions except the target
    /// and the retired ones are.
    bool to_target = false;
    std::set<std::string> retired;

    [[nodiscard]] bool admits(const std::string& version) const;
};

// [version_split] ------------------------------------------------------------

/// The state of all rollouts as known to one gateway.
class version_split
{
public:
    explicit version_split(version_split_settings settings = {});

    /// Replaces the leader's orders, by service. Resets the counts of a service
    /// whose order has changed or whose rollout has ended.
    ///
    /// @param as_of When the report that these orders answer was sent. The
    ///     orders' validity starts then.
    void set_orders(transport::monotonic_time as_of,
                    std::map<std::string, protocol::version_order> orders);

    /// Chooses the eligible versions for one attempt.
    ///
    /// @param random_draw Uniformly distributed from 0 to 1.
    /// @param retry Whether the request was sent to another server before. A
    ///     new version gets no retries while its rollout runs and its share is
    ///     below 1.
    [[nodiscard]] version_choice choose(transport::monotonic_time now,
                                        const std::string& service,
                                        double random_draw, bool retry) const;

    /// @return Whether a rollout of the service is running, so that its
    ///     responses are to be observed.
    [[nodiscard]] bool moves(const std::string& service) const;

    /// Counts a request sent to a server of the version.
    void on_sent(const std::string& service, const std::string& version);

    /// Counts a response that has ended.
    ///
    /// @param bad Whether the response failed or was incomplete.
    void on_ended(const std::string& service, const std::string& version,
                  bool bad);

    /// @return Counts of the running rollouts, by service.
    [[nodiscard]] const std::map<std::string, protocol::version_counts>&
    counts() const noexcept
    {
        return counts_;
    }

private:
    version_split_settings settings_;
    transport::monotonic_time orders_as_of_{};
    std::map<std::string, protocol::version_order> orders_;
    std::map<std::string, protocol::version_counts> counts_;
};

} // namespace hyssopdeal::coordination

#endif
