#include "matrix_world.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hyssopdeal::tests
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds way_time{2};
constexpr std::chrono::milliseconds reorder_time{45};
constexpr std::chrono::milliseconds long_delay{3'000};
constexpr std::chrono::milliseconds cut_time{4'000};
constexpr std::chrono::milliseconds pause_time{4'000};
constexpr std::chrono::milliseconds restart_time{1'000};
constexpr std::chrono::milliseconds reset_time{20};

} // namespace

std::string_view to_string(matrix_fault value) noexcept
{
    switch (value)
    {
    case matrix_fault::none:
        return "none";
    case matrix_fault::lose:
        return "lose";
    case matrix_fault::duplicate:
        return "duplicate";
    case matrix_fault::delay:
        return "delay";
    case matrix_fault::reorder:
        return "reorder";
    case matrix_fault::one_way:
        return "one-way";
    case matrix_fault::cut_off:
        return "cut-off";
    case matrix_fault::crash_before:
        return "crash-before";
    case matrix_fault::crash_after:
        return "crash-after";
    case matrix_fault::crash_sender:
        return "crash-sender";
    case matrix_fault::restart_empty:
        return "restart-empty";
    case matrix_fault::pause:
        return "pause";
    }
    return "none";
}

std::string_view to_string(matrix_break value) noexcept
{
    switch (value)
    {
    case matrix_break::none:
        return "none";
    case matrix_break::skip_sync:
        return "skip-sync";
    case matrix_break::forget_vote:
        return "forget-vote";
    case matrix_break::early_persist:
        return "early-persist";
    case matrix_break::answer_before_commit:
        return "answer-before-commit";
    case matrix_break::new_order_id:
        return "new-order-id";
    case matrix_break::apply_lower_index:
        return "apply-lower-index";
    case matrix_break::dispatch_before_claim:
        return "dispatch-before-claim";
    case matrix_break::release_after_send:
        return "release-after-send";
    case matrix_break::dispatch_late:
        return "dispatch-late";
    case matrix_break::accept_old_attempt:
        return "accept-old-attempt";
    case matrix_break::send_before_copy:
        return "send-before-copy";
    case matrix_break::other_version:
        return "other-version";
    case matrix_break::end_without_mark:
        return "end-without-mark";
    case matrix_break::keep_old_owner:
        return "keep-old-owner";
    case matrix_break::drain_without_hand_over:
        return "drain-without-hand-over";
    case matrix_break::revive_leaving:
        return "revive-leaving";
    case matrix_break::keep_bad_version:
        return "keep-bad-version";
    }
    return "none";
}

matrix_world::matrix_world(fault_plan plan, matrix_break broken)
    : random(plan.seed),
      plan_(plan),
      broken_(broken),
      start_(clock_.monotonic_now())
{}

matrix_world::node_id
matrix_world::add_node(std::string name, std::string domain, node_hooks hooks)
{
    nodes_.push_back({std::move(name), std::move(domain), std::move(hooks)});
    return nodes_.size() - 1;
}

void matrix_world::after(std::chrono::nanoseconds delay,
                         std::function<void()> run)
{
    queue_.push({now() + delay, ++order_, std::move(run)});
}

void matrix_world::after(node_id id, std::chrono::nanoseconds delay,
                         std::function<void()> run)
{
    const auto life = nodes_[id].life;
    after(delay,
          [this, id, life, run = std::move(run)] { on_node(id, life, run); });
}

void matrix_world::on_node(node_id id, std::uint64_t life,
                           std::function<void()> run)
{
    const auto& at = nodes_[id];
    if (!at.up || at.life != life)
    {
        return;
    }
    if (at.paused_until > now())
    {
        after(at.paused_until - now(), [this, id, life, run = std::move(run)] {
            on_node(id, life, run);
        });
        return;
    }
    run();
}

matrix_fault matrix_world::fault_at(std::uint64_t step) const
{
    if (plan_.first.step == step)
    {
        return plan_.first.fault;
    }
    return plan_.second.step == step ? plan_.second.fault : matrix_fault::none;
}

void matrix_world::send(node_id from, node_id to, std::string label,
                        std::function<void()> run)
{
    ++steps_;
    const auto fault = fault_at(steps_);
    note(fmt::format("{} {} > {}: {}{}{}", steps_, nodes_[from].name,
                     nodes_[to].name, label,
                     fault == matrix_fault::none ? "" : " ** ",
                     fault == matrix_fault::none ? "" : to_string(fault)));
    if (fault == matrix_fault::none)
    {
        deliver(from, to, way_time, std::move(run));
        return;
    }
    apply(fault, from, to, std::move(run));
}

void matrix_world::deliver(node_id from, node_id to,
                           std::chrono::nanoseconds delay,
                           std::function<void()> run)
{
    if (is_cut(from, to))
    {
        return;
    }
    after(delay, [this, from, to, run = std::move(run)] {
        if (!is_cut(from, to))
        {
            on_node(to, nodes_[to].life, run);
        }
    });
}

bool matrix_world::is_cut(node_id from, node_id to) const
{
    if (nodes_[from].cut_until > now() || nodes_[to].cut_until > now())
    {
        return true;
    }
    return std::any_of(
        blocked_.begin(), blocked_.end(), [&](const blocked_way& way) {
            return way.from == from && way.to == to && way.until > now();
        });
}

void matrix_world::apply(matrix_fault fault, node_id from, node_id to,
                         std::function<void()> run)
{
    switch (fault)
    {
    case matrix_fault::none:
    case matrix_fault::lose:
        return;
    case matrix_fault::duplicate:
        deliver(from, to, way_time, run);
        deliver(from, to, reorder_time, std::move(run));
        return;
    case matrix_fault::delay:
        deliver(from, to, long_delay, std::move(run));
        return;
    case matrix_fault::reorder:
        deliver(from, to, reorder_time, std::move(run));
        return;
    case matrix_fault::one_way:
        blocked_.push_back({from, to, now() + cut_time});
        return;
    case matrix_fault::cut_off:
        nodes_[to].cut_until = now() + cut_time;
        return;
    case matrix_fault::crash_before:
        crash(to, node_end::crashed);
        return;
    case matrix_fault::crash_after:
        deliver(from, to, way_time, [this, to, run = std::move(run)] {
            run();
            crash(to, node_end::crashed);
        });
        return;
    case matrix_fault::crash_sender:
        deliver(from, to, way_time, std::move(run));
        after(0ms, [this, from] { crash(from, node_end::crashed); });
        return;
    case matrix_fault::restart_empty:
        crash(to, node_end::crashed_and_lost_disk);
        return;
    case matrix_fault::pause:
        nodes_[to].paused_until = now() + pause_time;
        deliver(from, to, way_time, std::move(run));
        return;
    }
}

void matrix_world::watch(node_id by, node_id of, std::function<void()> run)
{
    watchers_.push_back(
        {by, nodes_[by].life, of, nodes_[of].life, std::move(run)});
}

void matrix_world::crash(node_id id, node_end how)
{
    if (!nodes_[id].up)
    {
        return;
    }
    stop(id);
    if (nodes_[id].hooks.on_crash)
    {
        nodes_[id].hooks.on_crash(how);
    }
    nodes_[id].stopped = false;
    after(restart_time, [this, id] {
        if (nodes_[id].stopped)
        {
            return;
        }
        nodes_[id].up = true;
        note(fmt::format("{} starts", nodes_[id].name));
        if (nodes_[id].hooks.on_start)
        {
            nodes_[id].hooks.on_start();
        }
    });
}

void matrix_world::stop(node_id id)
{
    auto& at = nodes_[id];
    if (!at.up)
    {
        return;
    }
    note(fmt::format("{} dies", at.name));
    at.up = false;
    at.stopped = true;
    at.paused_until = {};
    ++crashes_;
    const auto ended_life = at.life;
    ++at.life;
    for (const auto& entry : watchers_)
    {
        if (entry.of == id && entry.of_life == ended_life)
        {
            after(reset_time, [this, entry] {
                on_node(entry.by, entry.by_life, entry.run);
            });
        }
    }
    std::erase_if(watchers_, [id, ended_life](const watcher& entry) {
        return entry.of == id && entry.of_life == ended_life;
    });
}

void matrix_world::run_for(std::chrono::nanoseconds duration)
{
    const auto end = now() + duration;
    while (!queue_.empty() && queue_.top().at <= end)
    {
        auto item = queue_.top();
        queue_.pop();
        clock_.advance(item.at - now());
        item.run();
    }
    clock_.advance(end - now());
}

void matrix_world::run_until(const std::function<bool()>& done,
                             std::chrono::nanoseconds limit,
                             std::chrono::nanoseconds longer)
{
    constexpr std::chrono::milliseconds slice{50};
    const auto end = now() + limit;
    while (!done() && now() < end)
    {
        run_for(slice);
    }
    run_for(longer);
}

void matrix_world::note(std::string text)
{
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(now() - start_);
    trace_.push_back(fmt::format("{:>6} ms  {}", since.count(), text));
}

void matrix_world::violation(std::string text)
{
    note("BROKEN: " + text);
    violations_.push_back(std::move(text));
}

bool matrix_world::is_up(node_id id) const
{
    return nodes_[id].up;
}

std::uint64_t matrix_world::lives(node_id id) const
{
    return nodes_[id].life;
}

} // namespace hyssopdeal::tests
