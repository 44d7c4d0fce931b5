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
#include <hyssopdeal/coordination/limiter.hpp>
#include <hyssopdeal/coordination/membership_runner.hpp>
#include <hyssopdeal/coordination/retry_policy.hpp>
#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/rcu_cell.hpp>

#include "service_lane.hpp"
#include "stream_table.hpp"

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
    std::atomic<entry_readiness> readiness{
        entry_readiness::starting}; // written by the process's main thread
};

// [entry_shard] --------------------------------------------------------------

/// One thread's part of an entry process; nothing of it is used by another
/// thread, so that no request takes a lock.
struct entry_shard
{
    explicit entry_shard(entry_shared& of);
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

    /// Publishes the counts of open work now and from then on.
    void count_work();

    /// @return A fresh id for an attempt or a stream.
    [[nodiscard]] attempt_id next_id();

    entry_shared& shared;
    transport::event_loop loop;
    transport::http_client client{loop};
    std::optional<protocol::peer_hub> peers; ///< Only sends and calls; the
                                             ///< process's own hub listens.
    std::mt19937_64 random;
    limiter limits;
    budgeted_retry retries;
    std::map<std::string, std::unique_ptr<service_lane>, std::less<>> lanes;
    stream_table streams;
    std::uint64_t applied_index = 0;
    std::uint32_t open_calls = 0; ///< Plain calls that are not answered.
    std::atomic<std::uint32_t> published_streams{0}; // by this shard's thread
    std::atomic<std::uint32_t> published_calls{0};   // by this shard's thread
    transport::timer_handle count_timer;
};

} // namespace hyssopdeal::coordination

#endif
