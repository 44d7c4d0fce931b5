#include "load/load_commands.hpp"

#include <cstdio>
#include <fstream>

#include <fmt/format.h>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>

#include "load/svg_plot.hpp"

namespace hyssopdeal::load
{

namespace
{

load_exit refuse(const std::string& text)
{
    fmt::print(stderr, "{}\n", text);
    return load_exit::bad_usage;
}

bool write_file(const std::string& path, const std::string& text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    if (!file)
    {
        fmt::print(stderr, "{}: cannot be written\n", path);
    }
    return static_cast<bool>(file);
}

bool write_results(const load_options& options, const scenario& plan,
                   const run_results& results, const run_report& report)
{
    bool good = true;
    if (!options.json_file.empty())
    {
        good = write_file(options.json_file, protocol::write_settings(report));
    }
    if (!options.csv_file.empty())
    {
        good = write_file(options.csv_file, csv_text(plan, results)) && good;
    }
    if (!options.svg_prefix.empty())
    {
        const auto& prefix = options.svg_prefix;
        good =
            write_file(prefix + "-latency.svg", latency_plot(plan, results)) &&
            write_file(prefix + "-versions.svg", version_plot(results)) &&
            write_file(prefix + "-recomputed.svg", repeated_plot(results)) &&
            good;
    }
    return good;
}

load_exit run(const load_options& options, const transport::clock& clock)
{
    auto plan = protocol::read_settings_file<scenario>(options.input_file);
    if (!plan)
    {
        return refuse(plan.error().text);
    }
    plan->seed = options.seed.value_or(plan->seed);
    plan->rate_per_second = options.rate.value_or(plan->rate_per_second);
    if (options.duration)
    {
        plan->duration = *options.duration;
    }
    if (options.command == load_command::check)
    {
        fmt::print("The scenario is valid.\n");
        return load_exit::done;
    }
    const auto results = run_scenario(*plan, options.targets, clock);
    const auto report = summarise(*plan, results);
    fmt::print("{}", table_text(report));
    if (!write_results(options, *plan, results, report))
    {
        return load_exit::bad_usage;
    }
    return promises_kept(report) ? load_exit::done : load_exit::broken;
}

load_exit ask(const load_options& options, const transport::clock& clock)
{
    const auto body = protocol::read_text_file(options.input_file);
    if (!body)
    {
        return refuse(body.error().text);
    }
    constexpr std::uint32_t max_reconnects = 50;
    auto question = options.question;
    question.body = *body;
    question.max_reconnects = max_reconnects;
    transport::event_loop loop;
    transport::http_client client(loop);
    call_result result;
    bool ended = false;
    call running(
        loop, clock, client, options.targets.entries, std::move(question),
        [&](call_result end) {
            result = std::move(end);
            ended = true;
            loop.stop();
        },
        [](std::string_view text) {
            fmt::print("{}", text);
            std::fflush(stdout);
        });
    running.start();
    while (!ended)
    {
        loop.run_for(std::chrono::seconds{1});
    }
    fmt::print("\nask outcome={} status={} version={} tokens={} reconnects={} "
               "first_ms={:.1f} total_ms={:.1f}{}{}\n",
               to_string(result.outcome), result.status, result.version,
               result.tokens, result.reconnects,
               std::chrono::duration<double, std::milli>(result.first).count(),
               std::chrono::duration<double, std::milli>(result.total).count(),
               result.reason.empty() ? "" : " reason=", result.reason);
    return result.outcome == call_outcome::whole ? load_exit::done
                                                 : load_exit::broken;
}

load_exit compare(const load_options& options)
{
    const auto before =
        protocol::read_settings_file<run_report>(options.old_file);
    const auto after =
        protocol::read_settings_file<run_report>(options.new_file);
    if (!before || !after)
    {
        return refuse(before ? after.error().text : before.error().text);
    }
    fmt::print("{}", compare_text(*before, *after));
    return load_exit::done;
}

} // namespace

load_exit run_load(const load_options& options, const transport::clock& clock)
{
    switch (options.command)
    {
    case load_command::compare:
        return compare(options);
    case load_command::ask:
        return ask(options, clock);
    case load_command::run:
    case load_command::check:
        break;
    }
    return run(options, clock);
}

} // namespace hyssopdeal::load
