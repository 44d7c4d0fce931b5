#ifndef HYSSOPDEAL_BENCH_REPLICA_LAB_HPP
#define HYSSOPDEAL_BENCH_REPLICA_LAB_HPP

/// @file
/// Three replica cores in virtual time, with given logs: how one that differs
/// is brought up to date, and what that costs.
///
/// Index: [lab_log] [lab_cost] [replica_lab]

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <hyssopdeal/coordination/replica.hpp>

namespace hyssopdeal::bench
{

// [lab_log] ------------------------------------------------------------------

/// Records of one term in a row.
struct lab_run
{
    state::term_number term = 0;
    std::size_t records = 0;
};

/// Replicas 1, 2 and 3, all voters.
inline state::replica_set lab_set()
{
    state::replica_set set;
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        set.members.push_back({id, fmt::format("c{}", id), "", "", "",
                               state::replica_role::voter});
    }
    set.next_id = 4;
    return set;
}

inline state::recovered_state lab_log(std::uint64_t id,
                                      const std::vector<lab_run>& runs,
                                      std::size_t payload_bytes)
{
    state::recovered_state log;
    log.snap.index = 1;
    log.snap.term = 1;
    log.snap.replicas = lab_set();
    log.hard = {id, 1, 0};
    for (const auto& run : runs)
    {
        for (std::size_t at = 0; at < run.records; ++at)
        {
            log.records.push_back({log.records.size() + 2, run.term,
                                   state::record_kind::command,
                                   std::string(payload_bytes, 'x')});
        }
        log.hard.term = run.term;
    }
    return log;
}

// [lab_cost] -----------------------------------------------------------------

/// What it took between leader and follower.
struct lab_cost
{
    std::uint64_t refusals = 0;      ///< Exchanges that found no match.
    std::uint64_t messages = 0;      ///< Both ways.
    std::uint64_t bytes = 0;         ///< Encoded, both ways.
    std::uint64_t hint_bytes = 0;    ///< Of refusals and votes.
    std::chrono::nanoseconds time{}; ///< Virtual, from the election.
    bool caught_up = false;
};

// [replica_lab] --------------------------------------------------------------

/// Replica 1 becomes leader by the vote of 2; 3 is the one that differs.
template <coordination::reconcile_strategy Strategy>
class replica_lab
{
public:
    using replica_type = coordination::basic_replica<Strategy>;

    std::chrono::microseconds one_way{1'500};
    std::chrono::microseconds disk{2'000};
    coordination::replica_settings settings;

    lab_cost run(const state::recovered_state& leader,
                 const state::recovered_state& follower,
                 std::chrono::nanoseconds limit)
    {
        auto second = leader;
        second.hard.id = 2;
        auto third = follower;
        third.hard.id = 3;
        replicas_.emplace(1, replica_type{settings, leader, 1, time()});
        replicas_.emplace(2, replica_type{settings, second, 2, time()});
        replicas_.emplace(3, replica_type{settings, third, 3, time()});
        tick();
        while (!cost_.caught_up && !queue_.empty() && now_ < limit)
        {
            auto item = queue_.top();
            queue_.pop();
            now_ = item.at;
            item.run();
        }
        return cost_;
    }

private:
    struct queued
    {
        std::chrono::nanoseconds at{};
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const queued& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    [[nodiscard]] transport::monotonic_time time() const
    {
        return transport::monotonic_time{std::chrono::hours{1} + now_};
    }

    void after(std::chrono::nanoseconds delay, std::function<void()> run)
    {
        queue_.push({now_ + delay, ++order_, std::move(run)});
    }

    /// Only replica 1 feels time pass, so that it is the one that stands.
    void tick()
    {
        step(1, coordination::tick_event{});
        const auto status = replicas_.at(1).status(time());
        if (elected_ == std::chrono::nanoseconds{} && status.leader_id == 1)
        {
            elected_ = now_;
        }
        for (const auto& item : replicas_.at(1).followers())
        {
            if (item.id == 3 && item.match == status.last)
            {
                cost_.caught_up = true;
                cost_.time = now_ - elected_;
            }
        }
        after(std::chrono::milliseconds{1}, [this] { tick(); });
    }

    void step(std::uint64_t id, coordination::replica_event event)
    {
        auto actions = replicas_.at(id).step(time(), {}, std::move(event));
        if (actions.persist)
        {
            after(disk, [this, id, number = actions.persist->number] {
                step(id, coordination::persisted_event{number});
            });
        }
        for (auto& message : actions.sends)
        {
            deliver(std::move(message));
        }
    }

    void deliver(coordination::replica_message message)
    {
        count(message);
        after(one_way, [this, message = std::move(message)] {
            step(message.to, coordination::message_event{message});
        });
    }

    void count(const coordination::replica_message& message)
    {
        if (message.from != 3 && message.to != 3)
        {
            return;
        }
        const auto size = encode(message).size();
        const auto* reply =
            std::get_if<coordination::append_reply>(&message.body);
        const bool refused =
            reply != nullptr &&
            reply->answer == coordination::append_answer::refused;
        const bool vote =
            std::holds_alternative<coordination::vote_reply>(message.body);
        ++cost_.messages;
        cost_.bytes += size;
        cost_.refusals += refused ? 1 : 0;
        cost_.hint_bytes += refused || vote ? size : 0;
    }

    std::map<std::uint64_t, replica_type> replicas_;
    std::priority_queue<queued> queue_;
    std::uint64_t order_ = 0;
    std::chrono::nanoseconds now_{};
    std::chrono::nanoseconds elected_{};
    lab_cost cost_;
};

} // namespace hyssopdeal::bench

#endif
