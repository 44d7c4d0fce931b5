/// @file
/// Bound for the bytes that are held for callers.

#include <hyssopdeal/transport/byte_budget.hpp>

#include <algorithm>
#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <hyssopdeal/transport/log_limit.hpp>
#include <hyssopdeal/transport/metrics.hpp>

#include "transport/byte_budget_service.hpp"

namespace hyssopdeal::transport
{

using std::chrono::milliseconds;

namespace
{

constexpr std::size_t least_bytes_per_s = 65'536;
// Readers below it count as reading nothing. A quarter of the least rate of
// requests, as a refused request can be sent again and a cut response cannot.
constexpr std::size_t least_read_per_s = 16'384;
// A window of 64 KiB, the largest step on loopback, is read at that rate.
constexpr milliseconds longest_reading{4'000};
constexpr milliseconds sample_interval{100};
// The kernel of a caller that reads nothing fills its buffer in this time.
constexpr milliseconds buffer_fill_time{300};
// A caller that reads 64 KiB/s acknowledges a window of 64 KiB in this time.
constexpr milliseconds unread_proof_time{1'000};
// A part of the budget is kept for small shares, so that a few large requests
// that are being run do not shut out all other callers.
constexpr std::size_t small_share_bytes = 65'536;

/// @return What all shares together may hold for a share of this size to grow.
std::size_t limit_for(std::size_t limit, std::size_t bytes)
{
    return bytes > small_share_bytes ? limit / 4 * 3 : limit;
}

} // namespace

// [byte_budget] --------------------------------------------------------------

struct byte_budget::impl
{
    mutable std::mutex lock; // shares are of several threads
    std::size_t limit = 0;
    std::size_t held = 0;
    log_limit refusals;
    std::unordered_set<byte_share*> shares;
    std::unordered_map<const void*, monotonic_time> sampled; // by loop

    void sample_readers(monotonic_time now, const void* loop);
    template <class Condition>
    byte_share* heaviest(monotonic_time now, const void* loop,
                         Condition condition) const;
    byte_share* choose(monotonic_time now, const void* loop) const;
    bool has_response_not_read(monotonic_time now, const void* loop) const;
};

void byte_budget::impl::sample_readers(monotonic_time now, const void* loop)
{
    auto& latest = sampled[loop];
    if (now - latest < sample_interval)
    {
        return;
    }
    latest = now;
    for (auto* const share : shares)
    {
        if (share->loop_ == loop && share->allowed_ && share->total_read_)
        {
            share->sample_reader(now);
        }
    }
}

/// @return Whether a response waits whose caller is not known to read.
bool byte_budget::impl::has_response_not_read(monotonic_time now,
                                              const void* loop) const
{
    return std::any_of(shares.begin(), shares.end(), [&](const auto* share) {
        return share->loop_ == loop && share->allowed_ && share->bytes_ > 0 &&
               share->total_read_ &&
               share->reading_at(now) != byte_share::reading::yes;
    });
}

/// @return The share with the largest product of its bytes and its time without
///     progress, among those that may be taken back and meet a condition; null
///     if there is none.
template <class Condition>
byte_share* byte_budget::impl::heaviest(monotonic_time now, const void* loop,
                                        Condition condition) const
{
    byte_share* found = nullptr;
    double most = 0;
    for (auto* const share : shares)
    {
        const auto stalled = now - share->progressed_;
        if (share->loop_ != loop || !share->allowed_ || share->bytes_ == 0 ||
            stalled < share->stalled_for_ || !condition(*share))
        {
            continue;
        }
        const std::chrono::duration<double> time = stalled + milliseconds{1};
        const auto weight = static_cast<double>(share->bytes_) * time.count();
        if (found == nullptr || weight > most)
        {
            found = share;
            most = weight;
        }
    }
    return found;
}

byte_share* byte_budget::impl::choose(monotonic_time now,
                                      const void* loop) const
{
    using reading = byte_share::reading;
    const auto is_response = [now](reading state) {
        return [now, state](const byte_share& share) {
            return share.total_read_ && share.reading_at(now) == state;
        };
    };
    auto* const worst = heaviest(now, loop, [](const auto&) { return true; });
    if (worst == nullptr || !worst->total_read_ ||
        worst->reading_at(now) == reading::no)
    {
        return worst;
    }
    if (auto* const unread = heaviest(now, loop, is_response(reading::no)))
    {
        return unread;
    }
    // One whose caller does not read may be too new to be taken back. It is
    // waited for up to a quarter over the budget.
    if (held <= limit / 4 * 5 && has_response_not_read(now, loop))
    {
        return nullptr;
    }
    auto* const unknown = heaviest(now, loop, is_response(reading::not_known));
    return unknown != nullptr ? unknown : worst;
}

byte_budget::byte_budget(std::size_t limit)
    : impl_(std::make_unique<impl>())
{
    impl_->limit = limit;
}

byte_budget::~byte_budget() = default;

std::size_t byte_budget::held() const
{
    const std::lock_guard guard{impl_->lock};
    return impl_->held;
}

bool byte_budget::may_fit(std::size_t bytes) const
{
    const std::lock_guard guard{impl_->lock};
    const auto limit = limit_for(impl_->limit, bytes);
    if (impl_->held + bytes <= limit)
    {
        return true;
    }
    auto fixed = bytes;
    for (const auto* share : impl_->shares)
    {
        fixed += share->allowed_ ? 0 : share->bytes_;
    }
    return fixed <= limit;
}

bool byte_budget::count_refusal(monotonic_time now)
{
    return impl_->refusals.count(now).has_value();
}

std::string byte_budget::metrics() const
{
    const std::lock_guard guard{impl_->lock};
    prometheus_text out;
    out.family("hyssopdeal_caller_budget_refusals_total", "counter",
               "Requests refused and connections closed as too many bytes were "
               "held for callers");
    out.sample(static_cast<double>(impl_->refusals.total()));
    out.family("hyssopdeal_held_caller_bytes", "gauge",
               "Bytes held for callers");
    out.sample(static_cast<double>(impl_->held));
    return out.text();
}

// [byte_share] ---------------------------------------------------------------

byte_share::byte_share(std::shared_ptr<byte_budget> budget, const void* loop,
                       monotonic_time now, std::function<void()> take_back)
    : budget_(std::move(budget)),
      loop_(loop),
      take_back_(std::move(take_back)),
      progressed_(now)
{
    const std::lock_guard guard{budget_->impl_->lock};
    budget_->impl_->shares.insert(this);
}

byte_share::~byte_share()
{
    const std::lock_guard guard{budget_->impl_->lock};
    budget_->impl_->held -= bytes_;
    budget_->impl_->shares.erase(this);
}

bool byte_share::resize(monotonic_time now, std::size_t bytes)
{
    auto& all = *budget_->impl_;
    while (true)
    {
        std::function<void()> take_back;
        {
            const std::lock_guard guard{all.lock};
            all.sample_readers(now, loop_);
            if (bytes <= bytes_ ||
                all.held - bytes_ + bytes <= limit_for(all.limit, bytes))
            {
                all.held = all.held - bytes_ + bytes;
                bytes_ = bytes;
                return true;
            }
            auto* const chosen = all.choose(now, loop_);
            if (chosen == nullptr || chosen == this)
            {
                return false;
            }
            all.held -= std::exchange(chosen->bytes_, 0);
            chosen->allowed_ = false;
            take_back = std::exchange(chosen->take_back_, nullptr);
        }
        if (take_back)
        {
            take_back();
        }
    }
}

void byte_share::force(std::size_t bytes)
{
    const std::lock_guard guard{budget_->impl_->lock};
    budget_->impl_->held += bytes;
    budget_->impl_->held -= std::exchange(bytes_, bytes);
}

void byte_share::progress(monotonic_time now, std::size_t bytes)
{
    const std::lock_guard guard{budget_->impl_->lock};
    progressed_ = std::min(
        now, progressed_ + std::chrono::duration_cast<monotonic_time::duration>(
                               std::chrono::duration<double>{
                                   static_cast<double>(bytes) /
                                   static_cast<double>(least_bytes_per_s)}));
}

void byte_share::watch_reader(std::function<std::uint64_t()> total_read)
{
    const std::lock_guard guard{budget_->impl_->lock};
    total_read_ = std::move(total_read);
}

void byte_share::forget_reading()
{
    const std::lock_guard guard{budget_->impl_->lock};
    watched_since_ = {};
    unread_since_ = {};
    reads_until_ = {};
}

/// Called with the budget's lock held.
void byte_share::sample_reader(monotonic_time now)
{
    // Falls for a moment when the kernel has taken bytes that are not counted
    // as taken yet.
    const auto total = std::max(sampled_, total_read_());
    const auto read = total - std::exchange(sampled_, total);
    if (watched_since_ == monotonic_time{})
    {
        watched_since_ = now;
    }
    if (now - watched_since_ < buffer_fill_time)
    {
        return;
    }
    if (unread_since_ == monotonic_time{})
    {
        unread_since_ = now;
        return;
    }
    if (read == 0)
    {
        return;
    }
    constexpr std::uint64_t ms_in_s = 1'000;
    const milliseconds time{read * ms_in_s / least_read_per_s};
    reads_until_ =
        std::max(reads_until_, now + std::min(time, longest_reading));
    progressed_ = std::min(now, progressed_ + time);
    unread_since_ = std::min(now, unread_since_ + time);
}

/// Called with the budget's lock held, on a share of a response.
byte_share::reading byte_share::reading_at(monotonic_time now) const
{
    if (now < reads_until_)
    {
        return reading::yes;
    }
    const bool proved = unread_since_ != monotonic_time{} &&
                        now - unread_since_ >= unread_proof_time;
    return proved ? reading::no : reading::not_known;
}

void byte_share::allow_taking_back(bool allowed, milliseconds stalled_for)
{
    const std::lock_guard guard{budget_->impl_->lock};
    allowed_ = allowed && take_back_ != nullptr;
    stalled_for_ = stalled_for;
}

std::size_t byte_share::bytes() const
{
    const std::lock_guard guard{budget_->impl_->lock};
    return bytes_;
}

// [of a loop] ----------------------------------------------------------------

asio::execution_context::id byte_budget_service::id;

std::shared_ptr<byte_budget> make_byte_budget(std::size_t stated,
                                              std::size_t memory_mb)
{
    constexpr std::size_t quarter_of_mb = 262'144;
    constexpr std::size_t most_memory_mb = 1'048'576;
    const auto by_memory =
        memory_mb > 0 ? std::min(memory_mb, most_memory_mb) * quarter_of_mb
                      : default_held_caller_bytes;
    return std::make_shared<byte_budget>(stated > 0 ? stated : by_memory);
}

void set_byte_budget(event_loop& loop, std::shared_ptr<byte_budget> budget)
{
    asio::use_service<byte_budget_service>(loop.context()).budget =
        std::move(budget);
}

std::shared_ptr<byte_budget> byte_budget_of(event_loop& loop)
{
    return asio::use_service<byte_budget_service>(loop.context()).budget;
}

} // namespace hyssopdeal::transport
