#ifndef HYSSOPDEAL_STANDINS_MOVE_SESSION_HPP
#define HYSSOPDEAL_STANDINS_MOVE_SESSION_HPP

/// @file
/// One version move from its order to its end, with random traffic, the real
/// state machine and a leader that can be lost.
///
/// Index: [session_settings] [session_result] [move_session]

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <hyssopdeal/coordination/move_controller.hpp>
#include <hyssopdeal/state/control_state.hpp>
#include <hyssopdeal/transport/clock.hpp>

#include "version_traffic.hpp"

namespace hyssopdeal::standins
{

// [session_settings] ---------------------------------------------------------

/// Times of one session.
struct session_settings
{
    traffic_settings traffic;
    std::chrono::milliseconds complete_in{900'000}; ///< From the order.
    std::chrono::milliseconds watch{60'000};        ///< After 100%.
    std::chrono::milliseconds tick{250};            ///< Reports, decisions.
    std::chrono::milliseconds commit_delay{20};     ///< Proposal to record.
    std::chrono::milliseconds spread_delay{200};    ///< Record to entries.
    std::chrono::milliseconds load_time{30'000};    ///< Of one server.
    std::uint32_t failure_domains = 4;
    double canary_share = 0.01;
};

// [session_result] -----------------------------------------------------------

/// How a move went.
struct session_result
{
    state::move_record move;
    traffic_totals traffic;
    std::chrono::milliseconds took{}; ///< From the order to its end.
    std::optional<std::chrono::milliseconds> complete_after; ///< To 100%.
    bool warned_late = false;
};

// [move_session] -------------------------------------------------------------

/// Controller: move_controller, or what it is measured against.
template <class Controller>
class move_session
{
public:
    using maker = std::unique_ptr<Controller> (*)(const state::move_record&);

    move_session(const session_settings& settings, std::uint64_t seed,
                 maker make)
        : settings_{settings},
          make_{make},
          traffic_{settings.traffic, seed, clock_.monotonic_now()}
    {
        declare_service();
        order();
        for (std::uint32_t i = 0; i < settings.traffic.new_servers; ++i)
        {
            servers_.push_back(
                {"n" + std::to_string(i),
                 "d" + std::to_string(i % settings.failure_domains),
                 settings.traffic.slots});
            loaded_at_.emplace_back();
        }
        elect();
    }

    /// Runs one tick.
    void step()
    {
        clock_.advance(settings_.tick);
        commit_due();
        load_servers();
        traffic_.run_until(clock_.monotonic_now(), entry_shares(),
                           ready_servers());
        auto reports = traffic_.take_reports(clock_.monotonic_now());
        if (!controller_)
        {
            return;
        }
        for (const auto& report : reports)
        {
            controller_->on_report(report);
        }
        decide();
    }

    /// Runs to the move's end, at most for a time.
    session_result run(std::chrono::milliseconds at_most)
    {
        const auto stop = clock_.monotonic_now() + at_most;
        while (!ended() && clock_.monotonic_now() < stop)
        {
            step();
        }
        return result();
    }

    /// The leader is lost; what it proposed is lost or still committed.
    enum class proposals
    {
        lost,
        kept
    };

    void lose_leader(proposals fate)
    {
        controller_.reset();
        if (fate == proposals::lost)
        {
            proposed_.clear();
        }
    }

    /// A new leader takes the move on from the committed record.
    void elect()
    {
        controller_ = make_(move());
    }

    /// A backend server of the new version is gone, or back as a new one.
    void lose_server(std::size_t position)
    {
        servers_.at(position).state = coordination::version_state::absent;
        servers_.at(position).leaving = true;
    }

    void restore_server(std::size_t position)
    {
        servers_.at(position).leaving = false;
        loaded_at_.at(position).reset();
    }

    /// Loading fails on a server as often as it is tried.
    void fail_load(std::size_t position)
    {
        servers_.at(position).state = coordination::version_state::failed;
    }

    /// Applies an operator's command at once.
    state::command_result apply(state::command_body body)
    {
        ++index_;
        auto result =
            state_.apply({index_, 1}, {clock_.wall_now(), {}, std::move(body)});
        if (!shares_.empty() && !state_.tables().moves.empty())
        {
            note_commit();
        }
        return result;
    }

    [[nodiscard]] const state::move_record& move() const
    {
        return state_.tables().moves.at(settings_.traffic.service);
    }

    [[nodiscard]] bool ended() const
    {
        return state::ended(move().status.phase) &&
               clock_.monotonic_now() >
                   ended_at_ + settings_.spread_delay + std::chrono::seconds{2};
    }

    [[nodiscard]] session_result result() const
    {
        session_result out;
        out.move = move();
        out.traffic = traffic_.totals();
        out.took = std::chrono::duration_cast<std::chrono::milliseconds>(
            move().status.step_since - move().ordered_at);
        out.complete_after = complete_after_;
        out.warned_late = warned_late_;
        return out;
    }

    [[nodiscard]] const transport::manual_clock& clock() const
    {
        return clock_;
    }

private:
    struct due_proposal
    {
        transport::monotonic_time at{};
        state::update_move update;
    };
    struct known_shares
    {
        transport::monotonic_time from{};
        std::vector<protocol::version_share> shares;
    };

    void declare_service()
    {
        protocol::service service;
        service.name = settings_.traffic.service;
        service.shares = {{settings_.traffic.old_version, 1}};
        apply(state::put_service{service, 0});
        shares_.push_back({clock_.monotonic_now(), service.shares});
    }

    void order()
    {
        state::move_order order;
        order.service = settings_.traffic.service;
        order.version = settings_.traffic.new_version;
        order.complete_by = clock_.wall_now() + settings_.complete_in;
        order.largest_canary_share = settings_.canary_share;
        order.watch = settings_.watch;
        apply(state::order_move{order, 0});
    }

    void commit_due()
    {
        while (!proposed_.empty() &&
               proposed_.front().at <= clock_.monotonic_now())
        {
            apply(proposed_.front().update);
            proposed_.pop_front();
        }
    }

    void note_commit()
    {
        const auto& service =
            state_.tables().services.at(settings_.traffic.service).service;
        if (service.shares != shares_.back().shares)
        {
            shares_.push_back({clock_.monotonic_now() + settings_.spread_delay,
                               service.shares});
        }
        const auto& record = move();
        if (record.status.phase == state::move_phase::watching &&
            !complete_after_)
        {
            complete_after_ =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    clock_.wall_now() - record.ordered_at);
        }
        ended_at_ = clock_.monotonic_now();
    }

    /// The newest shares that have reached the entries.
    const std::vector<protocol::version_share>& entry_shares()
    {
        while (shares_.size() > 1 && shares_[1].from <= clock_.monotonic_now())
        {
            shares_.pop_front();
        }
        return shares_.front().shares;
    }

    void load_servers()
    {
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            auto& server = servers_[i];
            if (server.state == coordination::version_state::loading &&
                clock_.monotonic_now() >= *loaded_at_[i])
            {
                server.state = coordination::version_state::ready;
            }
        }
    }

    [[nodiscard]] std::uint32_t ready_servers() const
    {
        std::uint32_t count = 0;
        for (const auto& server : servers_)
        {
            count += server.state == coordination::version_state::ready &&
                     !server.leaving;
        }
        return count;
    }

    void decide()
    {
        coordination::move_view view;
        view.now = clock_.wall_now();
        view.move = move();
        view.servers = servers_;
        view.needed_slots = traffic_.needed_slots();
        view.requests_per_second = settings_.traffic.requests_per_second;
        view.load_time = settings_.load_time;
        const auto actions = controller_->advance(view);
        warned_late_ =
            warned_late_ ||
            actions.notice == coordination::move_notice::will_be_late;
        if (actions.update)
        {
            proposed_.push_back(
                {clock_.monotonic_now() + settings_.commit_delay,
                 *actions.update});
        }
        for (const auto& name : actions.hold)
        {
            start_load(name);
        }
    }

    void start_load(const std::string& name)
    {
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            if (servers_[i].name == name && !loaded_at_[i] &&
                servers_[i].state == coordination::version_state::absent)
            {
                servers_[i].state = coordination::version_state::loading;
                loaded_at_[i] = clock_.monotonic_now() + settings_.load_time;
            }
        }
    }

    session_settings settings_;
    maker make_;
    transport::manual_clock clock_;
    version_traffic traffic_;
    state::control_state state_;
    state::log_index index_ = 0;
    std::unique_ptr<Controller> controller_;
    std::deque<due_proposal> proposed_;
    std::deque<known_shares> shares_;
    std::vector<coordination::version_server> servers_;
    std::vector<std::optional<transport::monotonic_time>> loaded_at_;
    transport::monotonic_time ended_at_{};
    std::optional<std::chrono::milliseconds> complete_after_;
    bool warned_late_ = false;
};

} // namespace hyssopdeal::standins

#endif
