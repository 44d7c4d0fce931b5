/// @file
/// The session of a contract's change: two operators race with equal
/// revisions, the winner writes again, and two entries follow.

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "matrix_control_world.hpp"
#include "matrix_session.hpp"

namespace hyssopdeal::tests
{

namespace
{

using namespace std::chrono_literals;
using namespace coordination;

constexpr std::chrono::milliseconds answer_patience{1'800};
constexpr std::chrono::milliseconds learn_tick{50};
constexpr std::string_view organisation = "orchard";

// An operator that resends its order until it is answered.
struct sim_operator
{
    std::size_t node = 0;
    std::string name;
    double rate = 0; ///< Content of its order.
    state::revision expected = 0;
    std::string order_id;
    std::uint64_t tries = 0;
    std::optional<state::write_result> answer;
};

// An entry that follows the declarations.
struct sim_follower
{
    std::size_t node = 0;
    std::optional<learner> follows;
    state::log_index in_force = 0; ///< Index of what its requests meet.
    double rate = 0;
    std::uint64_t pulls = 0;
    std::uint64_t answered = 0; ///< Number of the latest pull's answer.
};

class contract_session
{
public:
    explicit contract_session(matrix_world& world)
        : world_(world),
          control_(world, 3)
    {
        for (std::size_t at = 0; at < followers_.size(); ++at)
        {
            followers_[at].node = world.add_node(
                fmt::format("entry-{}", at + 1), fmt::format("d{}", at + 1),
                {[this, at](node_end) { followers_[at].follows.reset(); },
                 [this, at] { start_follower(at); }});
            start_follower(at);
        }
        for (std::size_t at = 0; at < operators_.size(); ++at)
        {
            auto& self = operators_[at];
            self.name = fmt::format("operator-{}", at + 1);
            // Whoever runs the program runs it again with the same order id.
            self.node = world.add_node(self.name, "outside",
                                       {{}, [this, at] { ask(at); }});
            self.rate = static_cast<double>(at + 1);
            self.order_id = self.name + "-1";
        }
        control_.on_push = [this](std::size_t replica, follow_push push) {
            push_to(replica, std::move(push));
        };
    }

    void play()
    {
        constexpr std::chrono::milliseconds election{1'600};
        world_.run_for(election);
        ask(0);
        ask(1);
        world_.run_until([this] { return race_is_over(); }, 30s, 0ms);
        check_race();
        write_again();
        world_.run_until([this] { return is_in_force(); }, 30s, 500ms);
        check_end();
    }

private:
    // Operators --------------------------------------------------------------

    void ask(std::size_t at)
    {
        auto& self = operators_[at];
        if (self.answer)
        {
            return;
        }
        const auto replica = self.tries++ % control_.replicas().size();
        auto order_id = self.order_id;
        if (world_.breaks(matrix_break::new_order_id))
        {
            order_id += fmt::format("-{}", self.tries);
        }
        state::command order;
        order.order_id = order_id;
        state::put_contract put;
        put.contract.organisation = organisation;
        put.contract.requests_per_second = self.rate;
        put.expected = self.expected;
        order.body = put;
        world_.send(self.node, control_.replicas()[replica].node,
                    "order " + order_id, [this, at, replica, order, order_id] {
                        take_order(at, replica, order, order_id);
                    });
        world_.after(self.node, answer_patience,
                     [this, at, tries = self.tries] {
                         if (operators_[at].tries == tries)
                         {
                             ask(at);
                         }
                     });
    }

    void take_order(std::size_t at, std::size_t replica,
                    const state::command& order, const std::string& order_id)
    {
        control_.propose(
            replica, order, [this, at, replica, order_id](const auto& result) {
                world_.send(control_.replicas()[replica].node,
                            operators_[at].node, result ? "answer" : "refusal",
                            [this, at, result, order_id] {
                                take_answer(at, result, order_id);
                            });
            });
    }

    void take_answer(std::size_t at,
                     const transport::result<state::command_result>& result,
                     const std::string& order_id)
    {
        auto& self = operators_[at];
        if (!order_id.starts_with(self.order_id) || self.answer)
        {
            return;
        }
        if (!result)
        {
            // Not the leader, or no quorum: at the next one soon.
            const auto tries = self.tries;
            world_.after(self.node, 100ms, [this, at, tries] {
                if (operators_[at].tries == tries)
                {
                    ask(at);
                }
            });
            return;
        }
        self.answer = std::get<state::write_result>(result->body);
        world_.note(fmt::format("{}: status {} revision {}", self.name,
                                static_cast<int>(self.answer->status),
                                self.answer->now));
    }

    [[nodiscard]] bool race_is_over() const
    {
        return operators_[0].answer && operators_[1].answer;
    }

    [[nodiscard]] static bool won(const sim_operator& self)
    {
        return self.answer &&
               self.answer->status == state::write_status::applied;
    }

    void check_race()
    {
        if (!race_is_over())
        {
            if (control_.can_agree())
            {
                world_.violation("An operator got no answer.");
            }
            return;
        }
        if (won(operators_[0]) == won(operators_[1]))
        {
            world_.violation("Of two equal revisions not exactly one won.");
        }
    }

    // The winner changes its contract once more.
    void write_again()
    {
        const std::size_t winner = won(operators_[0]) ? 0 : 1;
        auto& self = operators_[winner];
        if (!won(self))
        {
            return;
        }
        self.expected = self.answer->now;
        self.rate = last_rate;
        self.order_id = self.name + "-2";
        self.answer.reset();
        writer_ = winner;
        ask(winner);
    }

    // Entries ----------------------------------------------------------------

    void start_follower(std::size_t at)
    {
        auto& self = followers_[at];
        self.follows.emplace(fmt::format("entry-{}", at + 1),
                             learning_settings{}, world_.now());
        self.in_force = 0;
        tick(at);
    }

    void tick(std::size_t at)
    {
        auto& self = followers_[at];
        learning_surroundings around;
        for (const auto& replica : control_.replicas())
        {
            around.sources.push_back(fmt::format("control-{}", replica.id));
        }
        for (const auto& other : followers_)
        {
            around.highest_heard =
                std::max(around.highest_heard, other.in_force);
        }
        act(at, self.follows->tick(world_.now(), around), {});
        world_.after(self.node, learn_tick, [this, at] { tick(at); });
    }

    void act(std::size_t at, const learner_actions& actions,
             const follow_update& update)
    {
        if (actions.pull)
        {
            pull(at, *actions.pull);
        }
        auto& self = followers_[at];
        const auto* known = &self.follows->declarations();
        auto index = known->applied;
        if (world_.breaks(matrix_break::apply_lower_index) && update.delta)
        {
            index = update.delta->to;
        }
        if (index < self.in_force)
        {
            world_.violation(fmt::format("An entry went back from {} to {}.",
                                         self.in_force, index));
        }
        self.in_force = index;
        const auto found = known->contracts.find(organisation);
        self.rate = found == known->contracts.end()
                        ? 0
                        : found->second.contract.requests_per_second;
    }

    void pull(std::size_t at, const learner_pull& order)
    {
        const auto replica = static_cast<std::size_t>(order.to.back() - '1');
        const auto request = order.request;
        const auto number = ++followers_[at].pulls;
        const learning_settings limits;
        world_.after(followers_[at].node, limits.source_time_limit,
                     [this, at, number, to = order.to] {
                         auto& self = followers_[at];
                         if (self.answered < number)
                         {
                             self.follows->failed(world_.now(), to);
                         }
                     });
        world_.send(
            followers_[at].node, control_.replicas()[replica].node, "pull",
            [this, at, replica, request, number, to = order.to] {
                auto& self = control_.replicas()[replica];
                if (!self.machine)
                {
                    return;
                }
                const auto update = self.source->answer(
                    world_.now(), self.machine->state().tables(), request);
                world_.send(self.node, followers_[at].node, "update",
                            [this, at, update, number, to] {
                                followers_[at].answered = number;
                                take_update(at, update, to);
                            });
            });
    }

    void take_update(std::size_t at, const follow_update& update,
                     const std::string& from)
    {
        auto& self = followers_[at];
        if (self.follows)
        {
            act(at, self.follows->answered(world_.now(), from, update), update);
        }
    }

    void push_to(std::size_t replica, follow_push push)
    {
        const auto at = static_cast<std::size_t>(push.to.back() - '1');
        world_.send(control_.replicas()[replica].node, followers_[at].node,
                    "push", [this, at, update = std::move(push.update)] {
                        auto& self = followers_[at];
                        if (self.follows)
                        {
                            act(at, self.follows->pushed(world_.now(), update),
                                update);
                        }
                    });
    }

    // The end ----------------------------------------------------------------

    [[nodiscard]] bool is_in_force() const
    {
        return writer_ && operators_[*writer_].answer &&
               std::all_of(followers_.begin(), followers_.end(),
                           [](const sim_follower& self) {
                               return self.rate == last_rate;
                           });
    }

    void check_end()
    {
        if (!control_.can_agree() || !writer_)
        {
            return;
        }
        const auto& writer = operators_[*writer_];
        if (!writer.answer)
        {
            return world_.violation("The winner's next order got no answer.");
        }
        if (writer.answer->status != state::write_status::applied)
        {
            return world_.violation("The winner's revision was refused.");
        }
        if (!is_in_force())
        {
            world_.violation("An accepted contract is not in force "
                             "everywhere.");
        }
    }

    static constexpr double last_rate = 7;

    matrix_world& world_;
    matrix::control_world control_;
    std::array<sim_operator, 2> operators_;
    std::array<sim_follower, 2> followers_;
    std::optional<std::size_t> writer_;
};

} // namespace

void play_contract_change(matrix_world& world)
{
    contract_session(world).play();
}

} // namespace hyssopdeal::tests
