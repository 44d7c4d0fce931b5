#ifndef HYSSOPDEAL_BENCH_REQUEST_MODEL_HPP
#define HYSSOPDEAL_BENCH_REQUEST_MODEL_HPP

/// @file
/// A small discrete-event model of model servers, shared by the benchmarks of
/// the request policies: slots, prefill, decode, lagging reports and prefix
/// caches. It drives the decision modules; it is no cluster simulator.
///
/// Index: [users] [workload] [event_loop] [model_server] [latencies]

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/coordination/prefix_index.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::bench
{

// [users] --------------------------------------------------------------------

/// Sizes and traffic of one user's system.
struct modelled_user
{
    std::string name;
    std::string service;
    std::vector<std::string> domains;
    std::chrono::microseconds hop{1'500}; ///< Between failure domains.
    double system_bytes = 4'096;          ///< Prompt shared by an organisation.
    double turn_bytes = 1'024;            ///< Added by each turn.
    double output_tokens = 200;           ///< Mean of an answer.
    std::chrono::milliseconds target{500}; ///< First token.
};

/// @return Pomarada and Litoral at today's sizes.
[[nodiscard]] std::vector<modelled_user> todays_users();

/// Number of model workers and of entry instances of both users.
inline constexpr std::size_t model_workers = 9;
inline constexpr std::size_t entry_instances = 9;

/// @return The user's service with its workers, spread over the domains, some
///     reclaimable.
[[nodiscard]] protocol::service make_service(const modelled_user& user);

// [workload] -----------------------------------------------------------------

/// One request of a conversation.
struct modelled_request
{
    transport::monotonic_time at{};
    std::size_t entry = 0;
    std::size_t organisation = 0;
    std::string prompt;
    double output_tokens = 0;
};

/// Conversations of five organisations, a few of them large, open loop.
///
/// @param load Of the capacity of all workers' decoding.
[[nodiscard]] std::vector<modelled_request>
make_requests(const modelled_user& user, double load,
              std::chrono::seconds duration, std::uint64_t seed);

// [event_loop] ---------------------------------------------------------------

/// Virtual time and what happens at it.
class model_loop
{
public:
    using handler = std::function<void()>;

    [[nodiscard]] transport::monotonic_time now() const noexcept;
    void at(transport::monotonic_time time, handler run);
    void after(std::chrono::nanoseconds delay, handler run);

    /// Runs until nothing is left or a time is reached.
    void run_until(transport::monotonic_time end);

private:
    struct event
    {
        transport::monotonic_time at;
        std::uint64_t order;
        handler run;

        bool operator>(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    transport::monotonic_time now_{std::chrono::hours{1}};
    std::uint64_t order_ = 0;
};

// [model_server] -------------------------------------------------------------

/// A request on a server.
struct server_work
{
    std::uint32_t priority = 1; ///< Lower goes first.
    coordination::prefix_chain chain;
    double prompt_tokens = 0;
    double output_tokens = 0;
    std::function<void(double cached_tokens)> on_first_token;
    std::function<void()> on_done;
};

/// Continuous batching with serial prefill and a bounded prefix cache.
class model_server
{
public:
    model_server(model_loop& loop, const protocol::backend_server& declared);

    /// @return Whether it was taken; a full queue refuses before running.
    bool submit(server_work work);

    [[nodiscard]] std::uint32_t running() const noexcept;
    [[nodiscard]] std::uint32_t queued() const noexcept;
    [[nodiscard]] double prefilled_tokens() const noexcept;

    /// @return Prompt tokens that its cache holds.
    [[nodiscard]] double
    cached_tokens(const coordination::prefix_chain& chain) const;

    /// Called for each block that is stored or evicted.
    std::function<void(const coordination::cache_event&)> on_cache_event;

private:
    void start_waiting();
    void start(const server_work& work);
    void store(const coordination::prefix_chain& chain);
    void tell(coordination::cache_event_kind kind, std::uint64_t block);

    model_loop& loop_;
    protocol::backend_server declared_;
    std::list<server_work> waiting_;
    std::uint32_t running_ = 0;
    transport::monotonic_time prefill_free_at_{};
    double prefilled_ = 0;
    std::list<std::uint64_t> recent_; ///< Blocks, latest first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
    std::uint64_t events_ = 0;
};

// [latencies] ----------------------------------------------------------------

/// @return A quantile in milliseconds; 0 of nothing.
[[nodiscard]] double quantile_ms(std::vector<double>& seconds, double share);

} // namespace hyssopdeal::bench

#endif
