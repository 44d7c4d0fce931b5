#ifndef HYSSOPDEAL_COORDINATION_CAPACITY_WORK_METER_HPP
#define HYSSOPDEAL_COORDINATION_CAPACITY_WORK_METER_HPP

/// @file
/// Counts the prefill work that callers ask of a service at one entry, each
/// request once, and how many streams were late. Performs no I/O.
///
/// Index: [work_meter]

#include <chrono>
#include <map>
#include <string>

#include <hyssopdeal/protocol/follow_messages.hpp>

namespace hyssopdeal::coordination
{

// [work_meter] ---------------------------------------------------------------

/// Totals since the process started, so that a lost report loses no work.
class work_meter
{
public:
    /// Records that a server of the service has stated its load. Other services
    /// are not counted.
    void on_load_stated(const std::string& service)
    {
        sums_.try_emplace(service);
    }

    /// Records the first placement of a request. Retries and moves are not
    /// recorded: they would count the same work again.
    ///
    /// @param prefill Predicted for its uncached tokens on a server of mean
    ///     speed.
    /// @param target Wait that makes the stream late: the lower one of its
    ///     targets for the first event and for gaps.
    void on_placed(const std::string& service,
                   std::chrono::duration<double, std::milli> prefill,
                   std::chrono::milliseconds target);

    /// Records a stream that was served, or refused for lack of capacity.
    ///
    /// @param late Whether it was refused or missed one of its targets.
    void on_ended(const std::string& service, bool late);

    [[nodiscard]] protocol::service_works totals() const;

private:
    struct sums
    {
        double requests = 0;
        double prefill_ms = 0;
        double prefill_ms2 = 0;
        double target_ms = 0;
        double ended = 0;
        double late = 0;
    };

    std::map<std::string, sums> sums_; ///< By service.
};

} // namespace hyssopdeal::coordination

#endif
