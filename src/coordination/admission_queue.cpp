#include <hyssopdeal/coordination/admission_queue.hpp>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>

namespace hyssopdeal::coordination
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using transport::monotonic_time;
using transport::reason;

/// Weight of a new sample in the moving average of start intervals.
constexpr double interval_smoothing = 0.1;
/// Maximum time between two checks of the waiting requests. The checks are
/// repeated because expected waits grow while nothing starts.
constexpr milliseconds recheck_interval{100};

struct waiting_request
{
    queued_request request;
    monotonic_time queued_at{};

    /// @return Latest start that still meets the deadline.
    [[nodiscard]] monotonic_time latest_start() const
    {
        return request.deadline - request.service_time;
    }
};

/// Moving average of the time between starts. Time during which the queue was
/// empty does not count.
class start_interval_estimate
{
public:
    void on_start(monotonic_time now, monotonic_time nonempty_since)
    {
        const auto since = std::max(last_start_, nonempty_since);
        const auto interval = std::chrono::duration<double>(now - since);
        average_ = known_
                       ? average_ + interval_smoothing * (interval - average_)
                       : interval;
        known_ = true;
        last_start_ = now;
    }

    [[nodiscard]] bool is_known() const
    {
        return known_;
    }

    /// @return Expected time between starts: at least half of the time since
    ///     the last one, so that the estimate grows while nothing starts.
    [[nodiscard]] std::chrono::duration<double>
    interval(monotonic_time now, monotonic_time nonempty_since) const
    {
        const auto since = std::max(last_start_, nonempty_since);
        const auto half_elapsed =
            std::chrono::duration<double>(now - since) / 2;
        return std::max(average_, half_elapsed);
    }

private:
    std::chrono::duration<double> average_{0};
    monotonic_time last_start_{};
    bool known_ = false;
};

struct class_queue
{
    std::deque<waiting_request> waiting;
    start_interval_estimate start_interval;
    monotonic_time nonempty_since{}; ///< When a request joined an empty queue.
};

std::size_t index_of(protocol::priority_class priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

struct admission_queue::impl
{
    admission_settings settings;
    std::array<class_queue, priority_classes> classes{};
    std::vector<admission_refusal> refusals{};
    std::uint32_t starts_since_aged = 0; ///< Since the last start by age.
    monotonic_time last_check{};

    /// @return Expected wait of a request with `ahead` requests of its class
    ///     before it. Zero until the start interval is known.
    [[nodiscard]] milliseconds expected_wait(monotonic_time now,
                                             std::size_t index,
                                             std::size_t ahead) const
    {
        const auto& queue = classes.at(index);
        if (!queue.start_interval.is_known() || ahead == 0)
        {
            return milliseconds{0};
        }
        const auto since = queue.waiting.empty() ? now : queue.nonempty_since;
        return std::chrono::duration_cast<milliseconds>(
            queue.start_interval.interval(now, since) * ahead);
    }

    /// Adds up to half of the delay, depending on the request number, so that
    /// refused callers do not all retry at the same time.
    [[nodiscard]] milliseconds retry_after(monotonic_time now,
                                           const queued_request& request) const
    {
        constexpr std::uint64_t steps = 64;
        const auto index = index_of(request.priority);
        const auto wait =
            expected_wait(now, index, classes.at(index).waiting.size() + 1);
        const auto base = std::max(wait, settings.min_retry_after);
        const auto delay = base + base * (request.number % steps) / (2 * steps);
        return std::min(std::chrono::duration_cast<milliseconds>(delay),
                        settings.max_retry_after);
    }

    [[nodiscard]] admission_refusal make_refusal(monotonic_time now,
                                                 const queued_request& request,
                                                 reason code,
                                                 std::string text) const
    {
        return {request.number,
                {transport::verdict::not_run, code, std::move(text)},
                retry_after(now, request)};
    }

    [[nodiscard]] admission_refusal
    make_late_refusal(monotonic_time now, const queued_request& request) const
    {
        return now >= request.deadline
                   ? make_refusal(now, request, reason::deadline_passed,
                                  "The deadline has passed.")
                   : make_refusal(now, request, reason::overloaded,
                                  "It would not be done by its deadline.");
    }

    /// Refuses each request of a class that is expected to start too late for
    /// its deadline.
    void refuse_late_requests(monotonic_time now, std::size_t index)
    {
        auto& waiting = classes.at(index).waiting;
        std::deque<waiting_request> kept;
        for (const auto& item : waiting)
        {
            const auto start = now + expected_wait(now, index, kept.size());
            if (start > item.latest_start())
            {
                refusals.push_back(make_late_refusal(now, item.request));
                continue;
            }
            kept.push_back(item);
        }
        waiting = std::move(kept);
    }

    void check(monotonic_time now)
    {
        last_check = now;
        for (std::size_t index = 0; index < classes.size(); ++index)
        {
            refuse_late_requests(now, index);
        }
    }

    /// The highest class is left out because it starts first in any case.
    ///
    /// @return The open class with the oldest request beyond the aging
    ///     threshold, if it is time for a start by age.
    [[nodiscard]] std::optional<std::size_t>
    aged_class(monotonic_time now, const class_states& states) const
    {
        std::optional<std::size_t> oldest;
        for (std::size_t index = 1; index < classes.size(); ++index)
        {
            const auto& waiting = classes.at(index).waiting;
            const bool aged =
                !waiting.empty() && states.at(index) == class_state::open &&
                now - waiting.front().queued_at >= settings.aging_threshold;
            if (aged &&
                (!oldest || waiting.front().queued_at <
                                classes.at(*oldest).waiting.front().queued_at))
            {
                oldest = index;
            }
        }
        return starts_since_aged + 1 >= settings.starts_per_aged_start
                   ? oldest
                   : std::nullopt;
    }

    /// @return The highest open class with a waiting request.
    [[nodiscard]] std::optional<std::size_t>
    highest_class(const class_states& states) const
    {
        for (std::size_t index = 0; index < classes.size(); ++index)
        {
            if (!classes.at(index).waiting.empty() &&
                states.at(index) == class_state::open)
            {
                return index;
            }
        }
        return std::nullopt;
    }

    queued_request start(monotonic_time now, std::size_t index)
    {
        auto& queue = classes.at(index);
        queue.start_interval.on_start(now, queue.nonempty_since);
        const auto started = queue.waiting.front().request;
        queue.waiting.pop_front();
        return started;
    }
};

admission_queue::admission_queue(admission_settings settings)
    : impl_(std::make_unique<impl>(impl{settings}))
{}

admission_queue::admission_queue(admission_queue&&) noexcept = default;
admission_queue&
admission_queue::operator=(admission_queue&&) noexcept = default;
admission_queue::~admission_queue() = default;

std::optional<admission_refusal>
admission_queue::push(transport::monotonic_time now,
                      const queued_request& request)
{
    const auto index = index_of(request.priority);
    auto& queue = impl_->classes.at(index);
    if (queue.waiting.size() >= impl_->settings.capacity.at(index))
    {
        return impl_->make_refusal(now, request, reason::overloaded,
                                   "The queue of its class is full.");
    }
    const auto wait = impl_->expected_wait(now, index, queue.waiting.size());
    if (now + wait + request.service_time > request.deadline)
    {
        return impl_->make_late_refusal(now, request);
    }
    if (queue.waiting.empty())
    {
        queue.nonempty_since = now;
    }
    queue.waiting.push_back({request, now});
    return std::nullopt;
}

std::optional<queued_request>
admission_queue::pop(transport::monotonic_time now, const class_states& states)
{
    impl_->check(now);
    const auto highest = impl_->highest_class(states);
    if (!highest)
    {
        return std::nullopt;
    }
    const auto aged = impl_->aged_class(now, states);
    if (aged && *aged != *highest)
    {
        impl_->starts_since_aged = 0;
        return impl_->start(now, *aged);
    }
    ++impl_->starts_since_aged;
    return impl_->start(now, *highest);
}

bool admission_queue::remove(request_number number)
{
    for (auto& queue : impl_->classes)
    {
        const auto found =
            std::find_if(queue.waiting.begin(), queue.waiting.end(),
                         [number](const auto& item) {
                             return item.request.number == number;
                         });
        if (found != queue.waiting.end())
        {
            queue.waiting.erase(found);
            return true;
        }
    }
    return false;
}

std::vector<admission_refusal>
admission_queue::take_refusals(transport::monotonic_time now)
{
    impl_->check(now);
    return std::exchange(impl_->refusals, {});
}

std::vector<admission_refusal>
admission_queue::refuse_all(transport::monotonic_time now,
                            transport::reason code)
{
    auto refusals = std::exchange(impl_->refusals, {});
    for (auto& queue : impl_->classes)
    {
        for (const auto& item : queue.waiting)
        {
            refusals.push_back(impl_->make_refusal(
                now, item.request, code, "It will not be started here."));
        }
        queue.waiting.clear();
    }
    return refusals;
}

std::optional<transport::monotonic_time> admission_queue::next_refusal() const
{
    std::optional<monotonic_time> next;
    for (const auto& queue : impl_->classes)
    {
        for (const auto& item : queue.waiting)
        {
            const auto due = std::min(item.latest_start(),
                                      impl_->last_check + recheck_interval);
            next = next ? std::min(*next, due) : due;
        }
    }
    return next;
}

std::chrono::milliseconds
admission_queue::expected_wait(transport::monotonic_time now,
                               protocol::priority_class priority) const
{
    const auto index = index_of(priority);
    return impl_->expected_wait(now, index,
                                impl_->classes.at(index).waiting.size());
}

std::size_t admission_queue::size() const noexcept
{
    std::size_t size = 0;
    for (const auto& queue : impl_->classes)
    {
        size += queue.waiting.size();
    }
    return size;
}

} // namespace hyssopdeal::coordination
