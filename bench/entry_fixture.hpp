#ifndef HYSSOPDEAL_BENCH_ENTRY_FIXTURE_HPP
#define HYSSOPDEAL_BENCH_ENTRY_FIXTURE_HPP

/// @file
/// An entry process with engines that stream tokens, in one process, for the
/// benchmarks of the forwarding path.
///
/// Index: [token_pace] [token_engine] [loop_thread] [caller] [entry_fixture]
///        [cpu_time]

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <hyssopdeal/coordination/entry_process.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/http_server.hpp>

namespace hyssopdeal::bench
{

// [token_pace] ---------------------------------------------------------------

/// How an engine sends its tokens.
struct token_pace
{
    std::uint32_t tokens = 100;            ///< Of each answer.
    std::chrono::microseconds interval{0}; ///< 0: as fast as they are taken.
};

// [loop_thread] --------------------------------------------------------------

/// An event loop with a thread of its own.
class loop_thread
{
public:
    loop_thread();
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;
    ~loop_thread();

    /// Starts the thread.
    void run();

    /// Stops and joins it.
    void stop();

    transport::event_loop loop;

private:
    std::thread thread_;
};

// [token_engine] -------------------------------------------------------------

/// Streams the same short token events for every chat.
class token_engine
{
public:
    explicit token_engine(token_pace pace);
    ~token_engine();

    /// @return `IP:port`.
    [[nodiscard]] const std::string& address() const noexcept;

private:
    struct stream;
    void answer(const transport::http_request& request,
                transport::http_responder responder);

    token_pace pace_;
    loop_thread thread_;
    transport::http_server server_;
    std::string address_;
};

// [caller] -------------------------------------------------------------------

/// What callers saw.
struct caller_totals
{
    std::atomic<std::uint64_t> events{0};
    std::atomic<std::uint64_t> ended{0};   ///< Whole answers.
    std::atomic<std::uint64_t> refused{0}; ///< 503, not_run.
    std::atomic<std::uint64_t> failed{0};  ///< Anything else.
};

/// Runs streamed chats from a thread of its own.
class caller
{
public:
    /// @param on_first Called with each time to first token.
    caller(std::string address, caller_totals& totals,
           std::function<void(std::chrono::nanoseconds)> on_first = {});
    ~caller();

    /// Starts one chat; safe to call from any thread.
    ///
    /// @param service Number of the service to call.
    void start_chat(std::size_t service = 0);

private:
    struct chat;

    std::string address_;
    caller_totals& totals_;
    std::function<void(std::chrono::nanoseconds)> on_first_;
    loop_thread thread_;
    transport::http_client client_;
    std::vector<std::shared_ptr<chat>> chats_; // of the thread
};

// [entry_fixture] ------------------------------------------------------------

/// An entry process whose contract sets no limit that matters.
class entry_fixture
{
public:
    /// @param services Number of equal services that are declared.
    entry_fixture(const std::vector<std::string>& engines, std::uint32_t shards,
                  std::size_t max_connections, std::size_t services = 1);
    ~entry_fixture();

    /// Declares one more service, served by an engine of its own.
    void declare_second(const std::string& engine);

    /// @return `IP:port`.
    [[nodiscard]] const std::string& address() const noexcept;

    /// @return On-CPU time of the entry's threads so far.
    [[nodiscard]] std::chrono::nanoseconds cpu_time() const;

    /// @return Time that they were ready and waited for a core.
    [[nodiscard]] std::chrono::nanoseconds core_wait_time() const;

private:
    [[nodiscard]] std::chrono::nanoseconds thread_times(int column) const;

    transport::system_clock clock_;
    protocol::control_view view_;
    std::unique_ptr<coordination::entry_process> process_;
    std::string address_;
    std::vector<std::string> threads_; // their numbers in /proc
};

// [cpu_time] -----------------------------------------------------------------

/// @return Resident memory of this process in KiB.
[[nodiscard]] std::uint64_t resident_kib();

/// @return The value at a share of the sorted samples, in milliseconds.
[[nodiscard]] double
percentile_ms(std::vector<std::chrono::nanoseconds> samples, double share);

} // namespace hyssopdeal::bench

#endif
