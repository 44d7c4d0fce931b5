/// @file
/// `moves`: bad versions taken back and good ones finished, by the move
/// controller and by fixed steps on a timer, over the same random traffic.

#include "bench.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include "standins/move_session.hpp"

namespace hyssopdeal::bench
{

namespace
{

using namespace std::chrono_literals;
using standins::fault_plan;
using standins::session_result;
using standins::session_settings;
using standins::version_fault;

/// Baseline: fixed shares, each for a fixed time, and one look at the overall
/// failure rate before the next.
class fixed_timer_controller
{
public:
    explicit fixed_timer_controller(const state::move_record& move)
        : version_{move.order.version}
    {}

    void on_report(const coordination::version_report& report)
    {
        for (const auto& cell : report.cells)
        {
            if (cell.version == version_)
            {
                requests_ += cell.requests;
                bad_ += cell.failed + cell.broken + cell.empty;
            }
        }
    }

    coordination::move_actions advance(const coordination::move_view& view)
    {
        coordination::move_actions actions;
        const auto& move = view.move;
        const auto stay = (move.order.complete_by - move.ordered_at) / 5;
        for (const auto& server : view.servers)
        {
            actions.hold.push_back(server.name);
        }
        if (state::ended(move.status.phase) ||
            view.now < move.status.step_since +
                           (move.status.phase == state::move_phase::watching
                                ? move.order.watch
                                : stay))
        {
            return actions;
        }
        auto status = move.status;
        status.step_since = view.now;
        if (requests_ > 0 && bad_ * 20 > requests_)
        {
            status.phase = state::move_phase::taken_back;
            status.share = 0;
        }
        else if (status.step == 4)
        {
            status.phase = state::move_phase::done;
        }
        else
        {
            constexpr std::array<double, 4> shares{0.01, 0.1, 0.5, 1};
            status.share = shares.at(status.step);
            ++status.step;
            status.phase = status.step == 4 ? state::move_phase::watching
                                            : state::move_phase::shifting;
        }
        requests_ = 0;
        bad_ = 0;
        actions.update = state::update_move{
            move.order.service, status,
            coordination::shares_during(move, status.share), move.changed};
        return actions;
    }

private:
    std::string version_;
    std::uint64_t requests_ = 0;
    std::uint64_t bad_ = 0;
};

/// One row of the benchmark.
struct move_kind
{
    std::string name;
    fault_plan fault;
};

std::vector<move_kind> kinds(const std::string& route,
                             std::chrono::milliseconds late)
{
    const std::uint32_t loaded = 2;
    return {
        {"good", {}},
        {"fails_at_once", {.kind = version_fault::fails}},
        {"slow_at_once", {.kind = version_fault::slow}},
        {"broken_at_once", {.kind = version_fault::broken}},
        {"empty_at_once", {.kind = version_fault::empty}},
        {"fails_tenth", {.kind = version_fault::fails, .probability = 0.1}},
        {"fails_later", {.kind = version_fault::fails, .after = late}},
        {"slow_later", {.kind = version_fault::slow, .after = late}},
        {"broken_later", {.kind = version_fault::broken, .after = late}},
        {"empty_later", {.kind = version_fault::empty, .after = late}},
        {"fails_loaded",
         {.kind = version_fault::fails, .above_running = loaded}},
        {"slow_loaded", {.kind = version_fault::slow, .above_running = loaded}},
        {"fails_route", {.kind = version_fault::fails, .route = route}},
        {"slow_route", {.kind = version_fault::slow, .route = route}},
        {"fails_route_later",
         {.kind = version_fault::fails, .after = late, .route = route}},
    };
}

/// Sums over the runs of one kind.
struct move_sums
{
    int runs = 0;
    int done = 0;
    int taken_back = 0;
    int in_time = 0;
    int shown = 0; ///< Runs in which the fault hit a request.
    std::vector<double> seconds;
    std::vector<double> bad;
    std::vector<double> bad_part;
    std::vector<double> share;
    double copies = 0;   ///< Of all requests, summed.
    double requests = 0; ///< Summed.

    void add(const session_result& run)
    {
        ++runs;
        copies += static_cast<double>(run.traffic.copies);
        requests += static_cast<double>(run.traffic.requests);
        done += run.move.status.phase == state::move_phase::done;
        taken_back += run.move.status.phase == state::move_phase::taken_back;
        in_time +=
            run.complete_after && run.move.ordered_at + *run.complete_after <=
                                      run.move.order.complete_by;
        if (!run.traffic.shown)
        {
            return;
        }
        ++shown;
        const auto bad_for = *run.traffic.last_bad - *run.traffic.shown;
        seconds.push_back(std::chrono::duration<double>(bad_for).count());
        bad.push_back(static_cast<double>(run.traffic.bad));
        bad_part.push_back(static_cast<double>(run.traffic.bad) /
                           static_cast<double>(run.traffic.requests));
        share.push_back(run.traffic.share_when_shown);
    }
};

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
    {
        return 0;
    }
    std::ranges::sort(values);
    const auto at = std::lround(q * static_cast<double>(values.size() - 1));
    return values.at(static_cast<std::size_t>(at));
}

void print_sums(const std::string& size, const std::string& kind,
                const std::string& policy, const move_sums& sums)
{
    // Bounds of the brief: a few seconds, and one in a hundred of the traffic.
    const bool good = kind == "good";
    constexpr double seconds_bound = 5;
    constexpr double bad_part_bound = 0.01;
    print_line(
        "moves",
        "size={} kind={} policy={} runs={} done={} taken_back={} in_time={} "
        "shown={} seconds_p50={:.1f} seconds_p95={:.1f} bad_p50={:.0f} "
        "bad_p95={:.0f} bad_part_p50={:.5f} bad_part_p95={:.5f} "
        "share_when_shown_p50={:.3f} copied_part={:.4f} bound_seconds={} "
        "bound_bad_part={} bound_ended={}",
        size, kind, policy, sums.runs, sums.done, sums.taken_back, sums.in_time,
        sums.shown, quantile(sums.seconds, 0.5), quantile(sums.seconds, 0.95),
        quantile(sums.bad, 0.5), quantile(sums.bad, 0.95),
        quantile(sums.bad_part, 0.5), quantile(sums.bad_part, 0.95),
        quantile(sums.share, 0.5), sums.copies / sums.requests,
        good                                            ? "-"
        : quantile(sums.seconds, 0.95) <= seconds_bound ? "met"
                                                        : "missed",
        good                                              ? "-"
        : quantile(sums.bad_part, 0.95) <= bad_part_bound ? "met"
                                                          : "missed",
        (good ? sums.in_time == sums.runs && sums.taken_back * 100 <= sums.runs
              : sums.taken_back == sums.runs)
            ? "met"
            : "missed");
}

/// One of the users' services.
struct service_size
{
    std::string name;
    session_settings session;
    std::string route; ///< Where a fault of one route shows.
    std::chrono::milliseconds late;
};

std::vector<service_size> sizes()
{
    service_size model{"model", {}, "check", 900s};
    auto& model_traffic = model.session.traffic;
    model_traffic.requests_per_second = 8;
    model_traffic.routes = {{"chat", 3, 200ms, 20ms, 150},
                            {"check", 1, 120ms, 20ms, 30}};
    model.session.complete_in = 3'600s;
    model.session.watch = 300s;
    service_size plain{"plain", {}, "book", 240s};
    auto& plain_traffic = plain.session.traffic;
    plain_traffic.requests_per_second = 100;
    plain_traffic.old_servers = 4;
    plain_traffic.new_servers = 4;
    constexpr auto once = protocol::repeatability::at_most_once;
    plain_traffic.routes = {{"status", 6, 60ms},
                            {"pay", 1, 150ms, 0ms, 0, once},
                            {"book", 1, 150ms, 0ms, 0, once}};
    plain.session.complete_in = 900s;
    plain.session.watch = 120s;
    plain.session.load_time = 5s;
    return {model, plain};
}

std::unique_ptr<coordination::move_controller>
make_controller(const state::move_record& move)
{
    return std::make_unique<coordination::move_controller>(
        coordination::move_settings{}, move, 500ms);
}

std::unique_ptr<fixed_timer_controller>
make_baseline(const state::move_record& move)
{
    return std::make_unique<fixed_timer_controller>(move);
}

template <class Controller>
move_sums run_kind(const service_size& size, const move_kind& kind, int runs,
                   std::uint64_t seed,
                   typename standins::move_session<Controller>::maker make)
{
    move_sums sums;
    auto settings = size.session;
    settings.traffic.fault = kind.fault;
    for (int i = 0; i < runs; ++i)
    {
        standins::move_session<Controller> session{
            settings, seed + static_cast<std::uint64_t>(i), make};
        sums.add(session.run(3 * settings.complete_in));
    }
    return sums;
}

/// `moves [RUNS [SIZE [KIND]]]`
int run_moves(const bench_arguments& arguments)
{
    const auto& rest = arguments.rest;
    const int runs =
        !rest.empty() ? std::stoi(rest[0]) : (arguments.quick ? 5 : 200);
    for (const auto& size : sizes())
    {
        if (rest.size() > 1 && rest[1] != size.name)
        {
            continue;
        }
        for (const auto& kind : kinds(size.route, size.late))
        {
            if (rest.size() > 2 && rest[2] != kind.name)
            {
                continue;
            }
            auto copying = size;
            copying.session.traffic.copies = standins::request_copies::made;
            print_sums(
                size.name, kind.name, "with_copies",
                run_kind<coordination::move_controller>(
                    copying, kind, runs, arguments.seed, make_controller));
            print_sums(size.name, kind.name, "without_copies",
                       run_kind<coordination::move_controller>(
                           size, kind, runs, arguments.seed, make_controller));
            print_sums(size.name, kind.name, "fixed_timer",
                       run_kind<fixed_timer_controller>(
                           size, kind, runs, arguments.seed, make_baseline));
        }
    }
    return 0;
}

const bench_registration registration{
    "moves", "version moves: bad ones taken back, good ones in time",
    run_moves};

} // namespace

} // namespace hyssopdeal::bench
