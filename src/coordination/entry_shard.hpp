#ifndef HYSSOPDEAL_SRC_COORDINATION_ENTRY_SHARD_HPP
#define HYSSOPDEAL_SRC_COORDINATION_ENTRY_SHARD_HPP

/// @file
/// Internal: what the modules of one thread of an entry process share.
///
/// Index: [entry_shared] [entry_shard]

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include <hyssopdeal/coordination/entry_catalog.hpp>
#include <hyssopdeal/coordination/entry_settings.hpp>
#include <hyssopdeal/coordination/ledger_client.hpp>
#include <hyssopdeal/coordination/limiter.hpp>
#include <hyssopdeal/coordination/membership_runner.hpp>
#include <hyssopdeal/coordination/retry_policy.hpp>
#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/protocol/span_writer.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/log_limit.hpp>
#include <hyssopdeal/transport/rcu_cell.hpp>

#include "entry_metrics.hpp"
#include "grant_client.hpp"
#include "service_lane.hpp"
#include "stream_table.hpp"
#include "version_copies.hpp"
#include "version_watch.hpp"

namespace hyssopdeal::coordination
{

// [entry_shared] -------------------------------------------------------------

/// Whether the process takes new work.
enum class entry_readiness : std::uint8_t
{
    starting, ///< No configuration yet.
    serving,
    unready, ///< Still serves what comes.
    draining ///< Refuses new work.
};

struct entry_shard;

/// What all threads of an entry process read.
struct entry_shared
{
    entry_shared(entry_settings from, const transport::clock& with)
        : settings(std::move(from)),
          clock(with)
    {}

    const entry_settings settings;
    const transport::clock& clock;
    transport::rcu_cell<entry_catalog> catalog{entry_catalog{}};
    std::atomic<const transport::rcu_cell<member_view>*> members{
        nullptr}; // written by the main thread before the shards run
    std::vector<entry_shard*> shards; ///< Set before the threads run.
    const std::shared_ptr<transport::log_limit> bad_input =
        std::make_shared<transport::log_limit>(); ///< Of all hubs.
    std::atomic<entry_readiness> readiness{
        entry_readiness::starting}; // written by the process's main thread
};

// [entry_shard] --------------------------------------------------------------

/// One thread's part of an entry process; nothing of it is used by another
/// thread, so that no request takes a lock.
struct entry_shard
{
    /// @param max_server_connections To backend servers at once.
    entry_shard(entry_shared& of, std::size_t max_server_connections);
    entry_shard(const entry_shard&) = delete;
    entry_shard& operator=(const entry_shard&) = delete;
    ~entry_shard();

    /// Takes over the configuration that is published now.
    void refresh();

    /// @return The lane of a service, or nullptr.
    [[nodiscard]] service_lane* find_lane(std::string_view service);

    [[nodiscard]] transport::monotonic_time now() const noexcept
    {
        return shared.clock.monotonic_now();
    }

    /// Joins the other processes: links out and, with control replicas, the
    /// ledger. Call it before the thread runs.
    void link(std::string_view shared_key);

    /// Tells the routers how many entries there are, now and from then on.
    void watch_members();

    /// Publishes the counts of open work now and from then on.
    void count_work();

    /// Asks the retry policy about a failed attempt of a request.
    ///
    /// @param attempts Made so far, with the failed one.
    [[nodiscard]] retry_decision decide_retry(const accepted_request& request,
                                              const transport::failure& error,
                                              std::uint32_t attempts);

    /// Opens the trace file, if the settings name one.
    [[nodiscard]] transport::result<void> open_spans();

    /// Writes a span below the entry's own, if the trace is recorded.
    ///
    /// @param started The span ends now.
    void record_span(std::string_view name, const accepted_request& request,
                     transport::monotonic_time started,
                     std::vector<protocol::span_attribute> attributes);

    /// Writes the entry's own span of a request that was answered.
    void record_entry_span(const accepted_request& request,
                           protocol::span_status status);

    /// Sends reports about versions and applies their guards from then on.
    void watch_versions();

    /// @return Whether a backend server was announced to leave.
    [[nodiscard]] bool is_leaving(std::string_view server) const;

    /// @return A fresh id for an attempt or a stream.
    [[nodiscard]] attempt_id next_id();

    entry_shared& shared;
    transport::event_loop loop;
    transport::http_client client;
    std::optional<protocol::peer_hub> peers; ///< Only sends and calls; the
                                             ///< process's own hub listens.
    std::optional<ledger_client> ledger;     ///< Not without replicas.
    std::mt19937_64 random;
    limiter limits;
    std::unique_ptr<grant_client> grants; ///< Not without replicas.
    budgeted_retry retries;
    std::map<std::string, std::unique_ptr<service_lane>, std::less<>> lanes;
    stream_table streams;
    version_watch versions;
    version_copies copies{*this};
    std::uint64_t applied_index = 0;
    std::uint32_t open_calls = 0; ///< Plain calls that are not answered.
    entry_metrics metrics;
    std::unique_ptr<protocol::span_writer> spans; ///< Not without a file.
    transport::timer_handle count_timer;
    transport::timer_handle members_timer;
    transport::timer_handle ledger_timer;
    transport::timer_handle versions_timer;

private:
    void tick_ledger();
    void apply_guards();

    /// Shares that the lanes use, by service.
    std::map<std::string, std::vector<protocol::version_share>, std::less<>>
        applied_shares_;
    [[nodiscard]] protocol::span
    make_span(std::string_view name, const accepted_request& request,
              transport::monotonic_time started) const;
};

} // namespace hyssopdeal::coordination

#endif
