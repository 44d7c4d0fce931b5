/// @file
/// The session of a voter's replacement: one replica loses its disk, a new one
/// joins, catches up and votes, the lost one is removed, and right after the
/// repair a second one is lost for good.

#include <algorithm>
#include <optional>

#include <fmt/format.h>

#include "matrix_control_world.hpp"
#include "matrix_session.hpp"

namespace hyssopdeal::tests
{

namespace
{

using namespace std::chrono_literals;
using namespace coordination;

constexpr std::uint64_t lost_id = 3;
constexpr std::uint64_t new_id = 4;
constexpr std::size_t second_loss = 1; ///< Place of replica 2.
constexpr std::chrono::milliseconds operator_tick{250};

class replacement_session
{
public:
    explicit replacement_session(matrix_world& world)
        : world_(world),
          control_(world, 3)
    {}

    void play()
    {
        constexpr std::chrono::milliseconds election{1'600};
        world_.run_for(election);
        write(1);
        world_.run_until([this] { return holds(1); }, 20s, 0ms);
        world_.stop(control_.replicas()[lost_id - 1].node);
        forget(lost_id - 1);
        control_.add_replica(new_id);
        operate();
        world_.run_until([this] { return repaired_; }, 40s, 0ms);
        if (!repaired_)
        {
            return check_repair();
        }
        world_.stop(control_.replicas()[second_loss].node);
        forget(second_loss);
        write(2);
        world_.run_until([this] { return holds(2); }, 30s, 0ms);
        check_end();
    }

private:
    // A replica that is stopped for good: its memory and disk are gone.
    void forget(std::size_t place)
    {
        auto& self = control_.replicas()[place];
        self.machine.reset();
        self.lost_disk = true;
    }

    // Writes a contract through whoever leads until it is in force.
    void write(std::uint64_t number)
    {
        if (holds(number))
        {
            return;
        }
        const auto place = control_.leader_place();
        if (place < control_.replicas().size())
        {
            state::command order;
            order.order_id = fmt::format("order-{}", number);
            state::put_contract put;
            put.contract.organisation = fmt::format("orchard-{}", number);
            order.body = put;
            control_.propose(place, order, [](const auto&) {});
        }
        world_.after(operator_tick, [this, number] { write(number); });
    }

    [[nodiscard]] bool holds(std::uint64_t number) const
    {
        const auto* leader = control_.leader();
        return leader != nullptr && leader->state().tables().contracts.contains(
                                        fmt::format("orchard-{}", number));
    }

    // Takes the next step of the repair when the former one is in effect.
    void operate()
    {
        const auto place = control_.leader_place();
        if (place < control_.replicas().size())
        {
            const auto set = control_.replicas()[place]
                                 .machine->status(world_.now())
                                 .replicas;
            if (!role_of(set, new_id))
            {
                order(place, replica_change::add_learner, new_id);
            }
            else if (role_of(set, new_id) == state::replica_role::learner)
            {
                order(place, replica_change::promote, new_id);
            }
            else if (role_of(set, lost_id))
            {
                order(place, replica_change::remove, lost_id);
            }
            else
            {
                repaired_ = is_committed();
            }
        }
        if (!repaired_)
        {
            world_.after(operator_tick, [this] { operate(); });
        }
    }

    void order(std::size_t place, replica_change change, std::uint64_t id)
    {
        control_.change(place, change, id, [](const auto&) {});
    }

    [[nodiscard]] bool is_committed() const
    {
        const auto& set = control_.leader()->state().tables().replicas;
        return !role_of(set, lost_id) &&
               role_of(set, new_id) == state::replica_role::voter;
    }

    static std::optional<state::replica_role>
    role_of(const state::replica_set& set, std::uint64_t id)
    {
        const auto found =
            std::find_if(set.members.begin(), set.members.end(),
                         [id](const auto& member) { return member.id == id; });
        return found == set.members.end()
                   ? std::nullopt
                   : std::optional<state::replica_role>{found->role};
    }

    [[nodiscard]] bool may_stand_still()
    {
        const auto& all = control_.replicas();
        return all[0].lost_disk || all.back().lost_disk ||
               (!repaired_ && all[second_loss].lost_disk);
    }

    void check_repair()
    {
        if (!may_stand_still())
        {
            world_.violation("The repair did not come to its end.");
        }
    }

    void check_end()
    {
        if (may_stand_still())
        {
            return;
        }
        if (!holds(2))
        {
            return world_.violation("Nothing can be written after the repair "
                                    "and a second loss.");
        }
        if (!holds(1))
        {
            world_.violation("An accepted contract was lost.");
        }
    }

    matrix_world& world_;
    matrix::control_world control_;
    bool repaired_ = false;
};

} // namespace

void play_replica_replacement(matrix_world& world)
{
    replacement_session(world).play();
}

} // namespace hyssopdeal::tests
