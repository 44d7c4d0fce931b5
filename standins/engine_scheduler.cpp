#include "engine_scheduler.hpp"

#include <algorithm>

namespace hyssopdeal::standins
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_ended_attempts = 1'024;
constexpr std::size_t max_samples = 4'096;
constexpr std::chrono::seconds unread_time_limit{5};
constexpr int max_steps_in_a_tick = 16;
constexpr std::chrono::microseconds shortest_tick{200};

} // namespace

engine_scheduler::engine_scheduler(transport::event_loop& loop,
                                   const transport::clock& clock,
                                   std::uint32_t slots, end_handler on_end)
    : loop_(loop),
      clock_(clock),
      slots_(slots),
      on_end_(std::move(on_end))
{
    sample();
}

void engine_scheduler::set_behaviour(const engine_behaviour& behaviour)
{
    behaviour_ = behaviour;
}

void engine_scheduler::add(std::shared_ptr<engine_attempt> attempt)
{
    const auto priority = attempt->request().priority;
    const auto later =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [priority](const std::shared_ptr<engine_attempt>& other) {
                         return other->request().priority > priority;
                     });
    waiting_.insert(later, std::move(attempt));
    start_waiting();
    sample();
    schedule_tick();
}

std::shared_ptr<engine_attempt>
engine_scheduler::find(std::string_view id) const
{
    const auto same = [id](const std::shared_ptr<engine_attempt>& attempt) {
        return attempt->request().id == id;
    };
    for (const auto& entry : running_)
    {
        if (same(entry.attempt))
        {
            return entry.attempt;
        }
    }
    const auto waits = std::find_if(waiting_.begin(), waiting_.end(), same);
    if (waits != waiting_.end())
    {
        return *waits;
    }
    const auto ended = std::find_if(ended_.begin(), ended_.end(), same);
    return ended != ended_.end() ? *ended : nullptr;
}

void engine_scheduler::cancel(const std::shared_ptr<engine_attempt>& attempt)
{
    attempt->cancel();
    std::erase(waiting_, attempt);
    std::erase_if(running_, [&attempt](const running_attempt& entry) {
        return entry.attempt == attempt;
    });
    start_waiting();
    sample();
}

std::uint32_t engine_scheduler::running() const noexcept
{
    return static_cast<std::uint32_t>(running_.size());
}

std::uint32_t engine_scheduler::queued() const noexcept
{
    return static_cast<std::uint32_t>(waiting_.size());
}

load_sample engine_scheduler::report() const
{
    const auto before = clock_.monotonic_now() - behaviour_.load_report_lag;
    auto chosen = samples_.front();
    for (const auto& entry : samples_)
    {
        if (entry.at > before)
        {
            break;
        }
        chosen = entry;
    }
    return chosen;
}

void engine_scheduler::start_waiting()
{
    while (!waiting_.empty() && running_.size() < slots_)
    {
        auto attempt = waiting_.front();
        waiting_.erase(waiting_.begin());
        start_one(std::move(attempt));
    }
}

void engine_scheduler::start_one(std::shared_ptr<engine_attempt> attempt)
{
    const auto& request = attempt->request();
    const auto uncached = request.prompt_tokens - request.cached_tokens;
    const double factor =
        request.fault == version_fault::slow ? behaviour_.slow_factor : 1;
    const auto scaled = [factor](std::chrono::nanoseconds time) {
        return std::chrono::nanoseconds{static_cast<std::int64_t>(
            static_cast<double>(time.count()) * factor)};
    };
    const auto prefill = scaled(behaviour_.prefill_per_token *
                                static_cast<std::int64_t>(uncached));
    running_.push_back({std::move(attempt), clock_.monotonic_now() + prefill,
                        scaled(behaviour_.token_interval),
                        transport::monotonic_time{}});
}

void engine_scheduler::tick()
{
    ticking_ = false;
    const auto now = clock_.monotonic_now();
    std::vector<std::shared_ptr<engine_attempt>> ended;
    for (auto& entry : running_)
    {
        if (!run_steps(entry, now) || was_left(entry, now))
        {
            ended.push_back(entry.attempt);
        }
    }
    for (const auto& attempt : ended)
    {
        std::erase_if(running_, [&attempt](const running_attempt& entry) {
            return entry.attempt == attempt;
        });
        attempt->cancel();
        keep_ended(attempt);
        on_end_(*attempt);
    }
    if (!ended.empty())
    {
        start_waiting();
        sample();
    }
    schedule_tick();
}

bool engine_scheduler::run_steps(running_attempt& entry,
                                 transport::monotonic_time now)
{
    for (int steps = 0; steps < max_steps_in_a_tick; ++steps)
    {
        if (entry.next_step > now)
        {
            return true;
        }
        entry.next_step += entry.interval;
        if (entry.attempt->step() == attempt_state::finished)
        {
            return false;
        }
    }
    return true;
}

bool engine_scheduler::was_left(running_attempt& entry,
                                transport::monotonic_time now)
{
    if (entry.attempt->has_reader())
    {
        entry.unread_since = {};
        return false;
    }
    if (entry.unread_since == transport::monotonic_time{})
    {
        entry.unread_since = now;
    }
    return now - entry.unread_since > unread_time_limit;
}

void engine_scheduler::schedule_tick()
{
    if (ticking_ || running_.empty())
    {
        return;
    }
    ticking_ = true;
    auto next = running_.front().next_step;
    for (const auto& entry : running_)
    {
        next = std::min(next, entry.next_step);
    }
    const auto wait = next - clock_.monotonic_now();
    timer_ =
        loop_.after(std::max<std::chrono::nanoseconds>(wait, shortest_tick),
                    [this] { tick(); });
}

void engine_scheduler::keep_ended(
    const std::shared_ptr<engine_attempt>& attempt)
{
    ended_.push_back(attempt);
    if (ended_.size() > max_ended_attempts)
    {
        ended_.pop_front();
    }
}

void engine_scheduler::sample()
{
    samples_.push_back(
        {clock_.monotonic_now(), clock_.wall_now(), running(), queued()});
    if (samples_.size() > max_samples)
    {
        samples_.pop_front();
    }
}

} // namespace hyssopdeal::standins
