#ifndef HYSSOPDEAL_TESTS_LINKED_ENTRIES_HPP
#define HYSSOPDEAL_TESTS_LINKED_ENTRIES_HPP

/// @file
/// Several entry processes with real sockets in one test process, engine
/// stand-ins behind them, and a caller that reads streams.
///
/// Index: [stream_caller] [linked_entries]

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <hyssopdeal/coordination/entry_process.hpp>
#include <hyssopdeal/protocol/sse_parser.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>

#include "fault_relay.hpp"
#include "standins/engine.hpp"

namespace hyssopdeal::tests
{

// [stream_caller] ------------------------------------------------------------

/// Reads one stream, over as many connections as it takes.
class stream_caller
{
public:
    stream_caller(transport::http_client& client, std::string key);

    /// Opens a stream at an entry.
    void open(const std::string& address, const std::string& body);

    /// Goes on after the last event at another entry.
    void resume(const std::string& address);

    /// Leaves without a word.
    void leave();

    [[nodiscard]] bool is_whole() const noexcept;
    [[nodiscard]] bool is_connected() const noexcept;

    std::string stream;           ///< Id told by the entry.
    std::string text;             ///< All text so far.
    std::string defect;           ///< What was wrong with an event.
    std::uint64_t last_event = 0; ///< Number.
    int status = 0;               ///< Of the last answer's head.
    bool one_copy = false;        ///< `Hyssopdeal-Copies: 1` was said.

private:
    void start(const std::string& address,
               const transport::http_request& request);
    void take(const protocol::sse_event& event);

    transport::http_client& client_;
    std::string key_;
    protocol::sse_parser parser_;
    transport::http_call call_;
    bool connected_ = false;
    bool whole_ = false;
};

// [linked_entries] -----------------------------------------------------------

/// Entries `e0`, `e1`, ... each in a failure domain of its own, and engines
/// `w0`, `w1`, ... of service `sidra`, version `v1`.
class linked_entries
{
public:
    linked_entries(std::size_t entries, std::size_t engines);
    ~linked_entries();

    /// Starts an entry again or for the first time.
    ///
    /// @return Whether its ports could be bound.
    bool start_entry(std::size_t number);

    /// Ends an entry as a crash does.
    void kill_entry(std::size_t number);

    /// Ends an engine as a crash does.
    void kill_engine(std::size_t number);

    /// Asks an entry to shut down; kill_entry() waits for its end.
    void drain_entry(std::size_t number);

    [[nodiscard]] std::string address(std::size_t entry) const;

    /// Runs the loop until something holds.
    bool run(const std::function<bool()>& holds,
             std::chrono::milliseconds limit = std::chrono::seconds{10});

    transport::system_clock clock;
    transport::event_loop loop;
    transport::http_client client{loop};
    std::vector<std::unique_ptr<standins::engine>> engines;

private:
    void pick_ports();
    [[nodiscard]] bool start_all();

    /// Closes what the system closes when a process ends.
    void close_ended();

    struct linked_entry
    {
        coordination::entry_settings settings;
        std::unique_ptr<coordination::entry_process> process;
        std::thread waiter;
        std::unique_ptr<fault_relay> callers;     ///< What callers connect to.
        std::shared_ptr<std::atomic<bool>> ended; // by the waiter
    };

    std::string key_file_;
    std::vector<std::unique_ptr<fault_relay>> engine_links_;
    std::vector<std::uint16_t> engine_ports_;
    std::vector<linked_entry> entries_;
};

} // namespace hyssopdeal::tests

#endif
