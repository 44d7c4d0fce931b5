#ifndef HYSSOPDEAL_STANDINS_ENGINE_SCHEDULER_HPP
#define HYSSOPDEAL_STANDINS_ENGINE_SCHEDULER_HPP

/// @file
/// Continuous batching of an engine stand-in: which attempts run, which wait,
/// and the lagging report on them.
///
/// Index: [load_sample] [engine_scheduler]

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>

#include "engine_attempt.hpp"

namespace hyssopdeal::standins
{

// [load_sample] --------------------------------------------------------------

/// What the engine's load was at a time.
struct load_sample
{
    transport::monotonic_time at;  ///< For finding the one to report.
    transport::wall_time taken_at; ///< As reported.
    std::uint32_t running = 0;     ///< Attempts in a slot.
    std::uint32_t queued = 0;      ///< Attempts that wait for one.
};

// [engine_scheduler] ---------------------------------------------------------

/// Runs up to `slots` attempts, lower priority numbers first, one token each a
/// step. Use it on the loop's thread.
class engine_scheduler
{
public:
    /// Called with each attempt that has ended.
    using end_handler = std::function<void(const engine_attempt&)>;

    engine_scheduler(transport::event_loop& loop, const transport::clock& clock,
                     std::uint32_t slots, end_handler on_end);

    /// Sets the speed of attempts that start from now on, and the report's age.
    void set_behaviour(const engine_behaviour& behaviour);

    /// Queues an attempt.
    void add(std::shared_ptr<engine_attempt> attempt);

    /// @return An attempt that waits, runs or ended lately; else nothing.
    [[nodiscard]] std::shared_ptr<engine_attempt>
    find(std::string_view id) const;

    /// Ends an attempt.
    void cancel(const std::shared_ptr<engine_attempt>& attempt);

    /// @return Attempts in a slot now.
    [[nodiscard]] std::uint32_t running() const noexcept;

    /// @return Attempts that wait now.
    [[nodiscard]] std::uint32_t queued() const noexcept;

    /// @return The load as it was the report's age ago.
    [[nodiscard]] load_sample report() const;

private:
    struct running_attempt
    {
        std::shared_ptr<engine_attempt> attempt;
        transport::monotonic_time next_step;
        std::chrono::nanoseconds interval{};
        transport::monotonic_time unread_since{};
    };

    void start_waiting();
    void start_one(std::shared_ptr<engine_attempt> attempt);
    void tick();
    void schedule_tick();
    bool run_steps(running_attempt& entry, transport::monotonic_time now);
    bool was_left(running_attempt& entry, transport::monotonic_time now);
    void keep_ended(const std::shared_ptr<engine_attempt>& attempt);
    void sample();

    transport::event_loop& loop_;
    const transport::clock& clock_;
    std::uint32_t slots_;
    end_handler on_end_;
    engine_behaviour behaviour_;
    std::vector<running_attempt> running_;
    std::vector<std::shared_ptr<engine_attempt>> waiting_;
    std::deque<std::shared_ptr<engine_attempt>> ended_;
    std::deque<load_sample> samples_;
    transport::timer_handle timer_;
    bool ticking_ = false;
};

} // namespace hyssopdeal::standins

#endif
