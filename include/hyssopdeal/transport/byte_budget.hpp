#ifndef HYSSOPDEAL_TRANSPORT_BYTE_BUDGET_HPP
#define HYSSOPDEAL_TRANSPORT_BYTE_BUDGET_HPP

/// @file
/// Bounds the bytes that a process holds for its callers: requests that are
/// being read or answered, and answers that wait for their reader. Handles
/// clients that send many large requests at once, stop short of their end and
/// stay connected.
///
/// Index: [byte_budget] [byte_share] [of a loop]
///
/// Each connection has a share. When the budget is reached, the shares of the
/// same loop that may be taken back are compared by the product of what they
/// hold and how long they have made no progress; the largest is taken back,
/// which refuses its request or closes its connection. A caller slower than
/// `least_bytes_per_s` counts as making no progress for part of that time, so
/// that one byte now and then protects nobody. A response whose caller reads
/// at least `least_read_per_s` is kept while there are others to take back
/// whose callers do not. An acknowledgement covers up to 64 KiB, so whether a
/// caller reads is known after it, or after a second without one; until then a
/// response is kept as well, up to a quarter over the budget.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::transport
{

class byte_share;

// [byte_budget] --------------------------------------------------------------

/// For a process that states no memory: a quarter of 192 MiB.
inline constexpr std::size_t default_held_caller_bytes = 50'331'648;

/// One for each process; safe to use from several loops' threads.
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit = default_held_caller_bytes);
    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;
    ~byte_budget();

    /// @return Bytes of all shares.
    [[nodiscard]] std::size_t held() const;

    /// @return Whether a request of this size fits once all shares that may be
    ///     taken back are.
    [[nodiscard]] bool may_fit(std::size_t bytes) const;

    /// Counts a refusal.
    ///
    /// @return Whether to log it; ten in any second are.
    [[nodiscard]] bool count_refusal(monotonic_time now);

    /// @return Counters in the format of the metrics address.
    [[nodiscard]] std::string metrics() const;

private:
    friend class byte_share;
    struct impl;
    std::unique_ptr<impl> impl_;
};

// [byte_share] ---------------------------------------------------------------

/// What one connection, or one request that was handed on, holds.
class byte_share
{
public:
    /// @param loop Any address that is the same for shares of one thread.
    /// @param take_back Frees the bytes. Called on that thread while another
    ///     share grows, at most once.
    byte_share(std::shared_ptr<byte_budget> budget, const void* loop,
               monotonic_time now, std::function<void()> take_back);
    byte_share(const byte_share&) = delete;
    byte_share& operator=(const byte_share&) = delete;
    ~byte_share();

    /// Changes the number of bytes; to be called before they are allocated.
    /// Takes back other shares when the budget is reached.
    ///
    /// @return False, without a change, when there is no room.
    [[nodiscard]] bool resize(monotonic_time now, std::size_t bytes);

    /// Changes the number of bytes even if there is no room, for bytes that
    /// have other bounds.
    void force(std::size_t bytes);

    /// The caller has sent or read bytes.
    void progress(monotonic_time now, std::size_t bytes);

    /// For a response. The kernel takes bytes long before the caller reads
    /// them, in steps of up to a megabyte, so how far it has read is asked for.
    ///
    /// @param total_read Gives the bytes that the caller has acknowledged since
    ///     it connected. Called on the loop's thread; must not use the budget.
    void watch_reader(std::function<std::uint64_t()> total_read);

    /// A new response begins to wait; what was read before counts no longer.
    void forget_reading();

    /// Sets whether the share may be taken back.
    ///
    /// @param stalled_for Only after so long without progress.
    void allow_taking_back(bool allowed, std::chrono::milliseconds stalled_for =
                                             std::chrono::milliseconds{0});

    [[nodiscard]] std::size_t bytes() const;

private:
    friend class byte_budget;

    enum class reading
    {
        yes,
        no,
        not_known,
    };

    void sample_reader(monotonic_time now);
    [[nodiscard]] reading reading_at(monotonic_time now) const;

    std::shared_ptr<byte_budget> budget_;
    const void* loop_;
    std::function<void()> take_back_;
    monotonic_time progressed_; ///< As if all bytes came at the least rate.
    std::chrono::milliseconds stalled_for_{0};
    std::function<std::uint64_t()> total_read_; ///< Null for requests.
    std::uint64_t sampled_ = 0;                 ///< Of these, when last asked.
    monotonic_time watched_since_{};            ///< 0: not asked yet.
    monotonic_time unread_since_{}; ///< 0: may be the kernel's buffer so far.
    monotonic_time reads_until_{};  ///< Counts as reading till then.
    std::size_t bytes_ = 0;
    bool allowed_ = true;
};

// [of a loop] ----------------------------------------------------------------

/// @param stated Bytes that may be held; 0: a quarter of the memory, as the
///     rest is for answers of servers and for state.
/// @param memory_mb Of the instance; 0: not known.
[[nodiscard]] std::shared_ptr<byte_budget>
make_byte_budget(std::size_t stated, std::size_t memory_mb);

/// Makes the servers of a loop that are created afterwards share a budget.
void set_byte_budget(event_loop& loop, std::shared_ptr<byte_budget> budget);

/// @return The loop's budget; one with the default limit if none was set.
[[nodiscard]] std::shared_ptr<byte_budget> byte_budget_of(event_loop& loop);

} // namespace hyssopdeal::transport

#endif
