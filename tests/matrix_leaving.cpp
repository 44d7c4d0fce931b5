/// @file
/// The session of a backend server that leaves: a reclaim notice reaches one
/// entry, the others hear it by gossip, and the platform's list lags behind.

#include <array>

#include <fmt/format.h>

#include <hyssopdeal/coordination/instance_watch.hpp>

#include "matrix_session.hpp"

namespace hyssopdeal::tests
{

namespace
{

using namespace std::chrono_literals;
using namespace coordination;

constexpr std::string_view server = "engine-1";
constexpr std::chrono::milliseconds gossip_time{200};
constexpr std::chrono::milliseconds list_time{300};
constexpr std::chrono::milliseconds list_lag{2'500};
constexpr std::chrono::seconds notice_at{1};
constexpr std::chrono::seconds learning_time{3};
constexpr std::chrono::seconds session_time{14};

struct sim_member
{
    std::size_t node = 0;
    member_table table;
    bool knew_leaving = false; ///< In this life.
    transport::monotonic_time started{};
};

class leaving_session
{
public:
    explicit leaving_session(matrix_world& world)
        : world_(world),
          start_(world.now())
    {
        platform_ = world.add_node("platform", "outside", {});
        for (std::size_t at = 0; at < entries_.size(); ++at)
        {
            entries_[at].node = world.add_node(
                fmt::format("entry-{}", at + 1), fmt::format("d{}", at + 1),
                {[this, at](node_end) {
                     entries_[at].table = member_table{};
                     entries_[at].knew_leaving = false;
                 },
                 [this, at] {
                     entries_[at].started = world_.now();
                     gossip(at);
                 }});
            gossip(at);
        }
        send_list();
        world.after(notice_at, [this] { send_notice(); });
    }

    void play()
    {
        world_.run_for(session_time);
        check_settled();
    }

private:
    // The platform repeats a notice until the instance is gone.
    void send_notice()
    {
        world_.send(platform_, entries_[0].node, "reclaim notice", [this] {
            auto& table = entries_[0].table;
            table.merge(leaving_update(table, server, "d1"));
            look(0);
        });
        world_.after(1s, [this] { send_notice(); });
    }

    void send_list()
    {
        const bool lags = world_.now() < start_ + notice_at + list_lag;
        const listed_instance line{
            std::string(server),
            lags ? listed_state::live : listed_state::leaving, 0};
        for (std::size_t at = 0; at < entries_.size(); ++at)
        {
            world_.send(platform_, entries_[at].node, "list",
                        [this, at, line] { take_list(at, line); });
        }
        world_.after(list_time, [this] { send_list(); });
    }

    void take_list(std::size_t at, const listed_instance& line)
    {
        auto& table = entries_[at].table;
        for (const auto& update : updates_from_list(table, {line}))
        {
            table.merge(update);
        }
        if (world_.breaks(matrix_break::revive_leaving) &&
            line.state == listed_state::live && table.find(server) != nullptr)
        {
            auto revived = *table.find(server);
            revived.state = protocol::member_state::alive;
            ++revived.incarnation;
            table.merge(revived);
        }
        look(at);
    }

    void gossip(std::size_t at)
    {
        const auto to = (at + 1 + rounds_++ % 2) % entries_.size();
        const auto updates = entries_[at].table.entries();
        world_.send(entries_[at].node, entries_[to].node, "gossip",
                    [this, to, updates] {
                        for (const auto& update : updates)
                        {
                            entries_[to].table.merge(update);
                        }
                        look(to);
                    });
        world_.after(entries_[at].node, gossip_time,
                     [this, at] { gossip(at); });
    }

    void look(std::size_t at)
    {
        auto& self = entries_[at];
        const bool accepts = accepts_work(self.table, server);
        if (accepts && self.knew_leaving)
        {
            world_.violation("A leaving server is used again.");
        }
        self.knew_leaving = self.knew_leaving || !accepts;
    }

    void check_settled()
    {
        for (const auto& self : entries_)
        {
            const bool had_time = world_.is_up(self.node) &&
                                  world_.now() - self.started > learning_time;
            if (had_time && accepts_work(self.table, server))
            {
                world_.violation("A leaving server still gets new work.");
            }
        }
    }

    matrix_world& world_;
    transport::monotonic_time start_;
    std::size_t platform_ = 0;
    std::uint64_t rounds_ = 0;
    std::array<sim_member, 3> entries_;
};

} // namespace

void play_leaving(matrix_world& world)
{
    leaving_session(world).play();
}

} // namespace hyssopdeal::tests
