#ifndef HYSSOPDEAL_COORDINATION_DRAIN_ENTRY_HPP
#define HYSSOPDEAL_COORDINATION_DRAIN_ENTRY_HPP

/// @file
/// Graceful shutdown of an entry instance: readiness off first, accepted work
/// finished or handed over, queued work refused as not run.
///
/// Index: [settings] [actions] [drain_entry]

#include <chrono>
#include <cstdint>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Times of a shutdown without a notice.
struct drain_settings
{
    std::chrono::milliseconds readiness_delay{2'000}; ///< Balancer's reaction.
    std::chrono::milliseconds finish_time{30'000};    ///< Then hand over.
    std::chrono::milliseconds hand_over_time{3'000};  ///< Kept before the end.
};

// [actions] ------------------------------------------------------------------

/// What the process does next.
enum class drain_action : std::uint8_t
{
    fail_readiness,    ///< /readyz answers 503; members hear `leaving`.
    refuse_queue,      ///< Waiting requests are answered not_run.
    refuse_new,        ///< New requests are answered not_run, draining.
    hand_over_streams, ///< Each open stream goes to its holder.
    close_rest,        ///< What is left is cut; verdict may_have_run.
    exit
};

/// Work that is still open.
struct open_work
{
    std::uint32_t streams = 0;
    std::uint32_t plain_calls = 0;
};

/// Phase of the shutdown.
enum class drain_phase : std::uint8_t
{
    serving,
    unready,      ///< Still serving what the balancer sends.
    finishing,    ///< Nothing new.
    handing_over, ///< Streams go to their holders.
    done
};

// [drain_entry] --------------------------------------------------------------

/// Decides each step of one shutdown.
class drain_entry
{
public:
    explicit drain_entry(drain_settings settings = {});

    /// SIGTERM, an operator's order or a reclaim notice; a later call can only
    /// make the end earlier.
    ///
    /// @param gone_at When the instance is gone; no earlier than now.
    void on_notice(transport::monotonic_time now,
                   transport::monotonic_time gone_at);

    /// SIGTERM without a time: uses the settings' times. A second signal hands
    /// over at once.
    void on_signal(transport::monotonic_time now);

    /// Work changed or time passed.
    void on_progress(transport::monotonic_time now, const open_work& work);

    /// @return What to do, in order; empties the list.
    [[nodiscard]] std::vector<drain_action> take_actions();

    /// @return When on_progress() is due next; far away when never.
    [[nodiscard]] transport::monotonic_time next_time() const noexcept;

    [[nodiscard]] drain_phase phase() const noexcept;

private:
    void enter(drain_phase phase);

    drain_settings settings_;
    drain_phase phase_ = drain_phase::serving;
    transport::monotonic_time refuse_at_{};
    transport::monotonic_time hand_over_at_{};
    transport::monotonic_time gone_at_{};
    std::vector<drain_action> actions_;
};

} // namespace hyssopdeal::coordination

#endif
