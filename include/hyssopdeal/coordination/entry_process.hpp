#ifndef HYSSOPDEAL_COORDINATION_ENTRY_PROCESS_HPP
#define HYSSOPDEAL_COORDINATION_ENTRY_PROCESS_HPP

/// @file
/// One entry process: its threads, its configuration and its end.
///
/// Index: [static_view] [entry_process]

#include <cstdint>
#include <functional>
#include <memory>

#include <hyssopdeal/coordination/entry_settings.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [static_view] --------------------------------------------------------------

/// Reads the contracts and services that the settings name.
///
/// @return The configuration, or every mistake in the files.
[[nodiscard]] transport::result<protocol::control_view>
read_static_view(const entry_settings& settings);

// [entry_process] ------------------------------------------------------------

/// Runs until it is stopped; used by `hyssop-entryd`, tests and benchmarks.
class entry_process
{
public:
    entry_process(entry_settings settings, const transport::clock& clock);
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    ~entry_process();

    /// Binds and starts the threads.
    ///
    /// @return The callers' port, or why the process cannot run.
    [[nodiscard]] transport::result<std::uint16_t> start();

    /// Puts a configuration in force on every thread; one with a lower index
    /// than that in force is ignored. Call it on one thread only.
    void publish(protocol::control_view view);

    /// Begins a graceful shutdown; a second call makes it shorter. Safe to
    /// call from any thread.
    void drain();

    /// Drains on SIGTERM and SIGINT, calls a function on SIGHUP.
    ///
    /// @param on_reload Runs on the thread that waits.
    void handle_signals(std::function<void()> on_reload);

    /// Ends at once and cuts off what is open, as a crash would. Safe to call
    /// from any thread.
    void stop();

    /// Blocks until a graceful shutdown has ended, or stop().
    void wait();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
