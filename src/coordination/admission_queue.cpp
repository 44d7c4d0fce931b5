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

constexpr double interval_smoothing = 0.1;
constexpr milliseconds recheck_interval{100};

struct waiting_request
{
    queued_request request;
    monotonic_time queued_at{};

    [[nodiscard]] monotonic_time latest_start() const
    {
        return request.deadline - request.service_time;
    }
};

/// Time between starts, measured only while somebody waited.
class start_pace
{
public:
    void on_start(monotonic_time now, monotonic_time waited_since)
    {
        const auto since = std::max(last_start_, waited_since);
        const auto interval = std::chrono::duration<double>(now - since);
        interval_ =
            known_ ? interval_ + interval_smoothing * (interval - interval_)
                   : interval;
        known_ = true;
        last_start_ = now;
    }

    [[nodiscard]] bool is_known() const
    {
        return known_;
    }

    /// @return The expected time between starts; longer while none comes.
    [[nodiscard]] std::chrono::duration<double>
    interval(monotonic_time now, monotonic_time waited_since) const
    {
        const auto since = std::max(last_start_, waited_since);
        const auto stalled = std::chrono::duration<double>(now - since) / 2;
        return std::max(interval_, stalled);
    }

private:
    std::chrono::duration<double> interval_{0};
    monotonic_time last_start_{};
    bool known_ = false;
};

struct class_queue
{
    std::deque<waiting_request> waiting;
    start_pace pace;
    monotonic_time busy_since{}; ///< Since when somebody has waited.
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
    std::uint32_t starts_in_order = 0; ///< Since the last by age.
    monotonic_time checked_at{};

    [[nodiscard]] milliseconds wait_of(monotonic_time now, std::size_t index,
                                       std::size_t ahead) const
    {
        const auto& queue = classes.at(index);
        if (!queue.pace.is_known() || ahead == 0)
        {
            return milliseconds{0};
        }
        const auto since = queue.waiting.empty() ? now : queue.busy_since;
        return std::chrono::duration_cast<milliseconds>(
            queue.pace.interval(now, since) * ahead);
    }

    /// Spread by the number, so that refused callers do not come back at once.
    [[nodiscard]] milliseconds retry_after(monotonic_time now,
                                           const queued_request& request) const
    {
        constexpr std::uint64_t spread = 64;
        const auto index = index_of(request.priority);
        const auto wait =
            wait_of(now, index, classes.at(index).waiting.size() + 1);
        const auto base = std::max(wait, settings.retry_floor);
        const auto spread_wait =
            base + base * (request.number % spread) / (2 * spread);
        return std::min(std::chrono::duration_cast<milliseconds>(spread_wait),
                        settings.retry_ceiling);
    }

    [[nodiscard]] admission_refusal refuse(monotonic_time now,
                                           const queued_request& request,
                                           reason code, std::string text) const
    {
        return {request.number,
                {transport::verdict::not_run, code, std::move(text)},
                retry_after(now, request)};
    }

    [[nodiscard]] admission_refusal
    refuse_late(monotonic_time now, const queued_request& request) const
    {
        return now >= request.deadline
                   ? refuse(now, request, reason::deadline_passed,
                            "The deadline has passed.")
                   : refuse(now, request, reason::overloaded,
                            "It would not be done by its deadline.");
    }

    /// Refuses each request of a class that would start too late.
    void refuse_hopeless(monotonic_time now, std::size_t index)
    {
        auto& waiting = classes.at(index).waiting;
        std::deque<waiting_request> kept;
        for (const auto& item : waiting)
        {
            const auto start = now + wait_of(now, index, kept.size());
            if (start > item.latest_start())
            {
                refusals.push_back(refuse_late(now, item.request));
                continue;
            }
            kept.push_back(item);
        }
        waiting = std::move(kept);
    }

    void check(monotonic_time now)
    {
        checked_at = now;
        for (std::size_t index = 0; index < classes.size(); ++index)
        {
            refuse_hopeless(now, index);
        }
    }

    /// @return The class whose oldest request has waited beyond the bound, if
    ///     the share for such starts allows one.
    [[nodiscard]] std::optional<std::size_t>
    aged_class(monotonic_time now, const class_states& rooms) const
    {
        std::optional<std::size_t> oldest;
        for (std::size_t index = 1; index < classes.size(); ++index)
        {
            const auto& waiting = classes.at(index).waiting;
            const bool aged =
                !waiting.empty() && rooms.at(index) == class_state::open &&
                now - waiting.front().queued_at >= settings.aging_bound;
            if (aged &&
                (!oldest || waiting.front().queued_at <
                                classes.at(*oldest).waiting.front().queued_at))
            {
                oldest = index;
            }
        }
        return starts_in_order + 1 >= settings.aged_every ? oldest
                                                          : std::nullopt;
    }

    [[nodiscard]] std::optional<std::size_t>
    first_class(const class_states& rooms) const
    {
        for (std::size_t index = 0; index < classes.size(); ++index)
        {
            if (!classes.at(index).waiting.empty() &&
                rooms.at(index) == class_state::open)
            {
                return index;
            }
        }
        return std::nullopt;
    }

    queued_request start(monotonic_time now, std::size_t index)
    {
        auto& queue = classes.at(index);
        queue.pace.on_start(now, queue.busy_since);
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
        return impl_->refuse(now, request, reason::overloaded,
                             "The queue of its class is full.");
    }
    const auto wait = impl_->wait_of(now, index, queue.waiting.size());
    if (now + wait + request.service_time > request.deadline)
    {
        return impl_->refuse_late(now, request);
    }
    if (queue.waiting.empty())
    {
        queue.busy_since = now;
    }
    queue.waiting.push_back({request, now});
    return std::nullopt;
}

std::optional<queued_request>
admission_queue::pop(transport::monotonic_time now, const class_states& rooms)
{
    impl_->check(now);
    const auto first = impl_->first_class(rooms);
    if (!first)
    {
        return std::nullopt;
    }
    const auto aged = impl_->aged_class(now, rooms);
    if (aged && *aged != *first)
    {
        impl_->starts_in_order = 0;
        return impl_->start(now, *aged);
    }
    ++impl_->starts_in_order;
    return impl_->start(now, *first);
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
            refusals.push_back(impl_->refuse(now, item.request, code,
                                             "It will not be started here."));
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
                                      impl_->checked_at + recheck_interval);
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
    return impl_->wait_of(now, index, impl_->classes.at(index).waiting.size());
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
