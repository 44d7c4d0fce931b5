#ifndef HYSSOPDEAL_TRANSPORT_EVENT_LOOP_HPP
#define HYSSOPDEAL_TRANSPORT_EVENT_LOOP_HPP

/// @file
/// One thread's event loop on Asio. HTTP servers, HTTP clients and peer links
/// that are built on the same loop run on the same thread and need no locks
/// among themselves.
///
/// Index: [timer_handle] [event_loop]

#include <chrono>
#include <functional>
#include <memory>

namespace asio
{
class io_context;
}

namespace hyssopdeal::transport
{

// [timer_handle] -------------------------------------------------------------

/// Owns a pending timer; destroying or cancelling it stops the timer.
class timer_handle
{
public:
    struct impl;

    timer_handle() noexcept;
    explicit timer_handle(std::shared_ptr<impl> state) noexcept;
    timer_handle(timer_handle&&) noexcept;
    timer_handle& operator=(timer_handle&&) noexcept;
    ~timer_handle();

    /// Stops the timer; does nothing when it has run or was never set.
    /// Call it on the loop's thread.
    void cancel() noexcept;

private:
    std::shared_ptr<impl> state_;
};

// [event_loop] ---------------------------------------------------------------

/// Runs handlers, timers and socket events on the one thread that calls run().
class event_loop
{
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// Queues a handler; safe to call from any thread.
    void post(std::function<void()> handler);

    /// Runs a handler once after a delay. Call it on the loop's thread.
    ///
    /// @param delay From now; runs at once when it is not positive.
    /// @return The handle that keeps the timer alive.
    [[nodiscard]] timer_handle after(std::chrono::nanoseconds delay,
                                     std::function<void()> handler);

    /// Runs until stop(); blocks the calling thread.
    void run();

    /// Runs for at most the given time, then returns.
    void run_for(std::chrono::nanoseconds duration);

    /// Makes run() return soon; safe to call from any thread.
    void stop();

    /// Runs a handler on the loop when one of SIGTERM, SIGINT or SIGHUP comes.
    ///
    /// @param handler Gets the signal's number.
    void on_signal(std::function<void(int)> handler);

    /// Keeps an object until the loop and all its handlers are destroyed. For
    /// the other modules of this layer: handlers that still wait at the end may
    /// use what the object owns.
    ///
    /// @param before_end Called when the loop's destruction begins; must let go
    ///     of what handlers own in a cycle.
    void keep(std::shared_ptr<void> object, std::function<void()> before_end);

    /// For the other modules of this layer.
    [[nodiscard]] asio::io_context& context() noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Blocks or unblocks the signals that on_signal() handles, SIGTERM, SIGINT and
/// SIGHUP, for the calling thread: a signal that comes before the handler is set
/// must not end the process.
///
/// @param how SIG_BLOCK or SIG_UNBLOCK.
void mask_stop_signals(int how);

} // namespace hyssopdeal::transport

#endif
