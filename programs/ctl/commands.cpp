#include "ctl/commands.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <hyssopdeal/protocol/settings_reader.hpp>

#include "ctl/analyze.hpp"
#include "ctl/declaration_commands.hpp"
#include "ctl/evacuation_commands.hpp"
#include "ctl/explain.hpp"
#include "ctl/move_commands.hpp"
#include "ctl/session.hpp"
#include "ctl/trace_view.hpp"

namespace hyssopdeal::ctl
{

namespace
{

constexpr int ok = 200;

exit_code drain(session& run)
{
    const auto& words = run.options().words;
    constexpr std::size_t words_needed = 3;
    if (words.size() != words_needed || words[1] != "drain")
    {
        return run.refuse("instance: allowed drain NAME");
    }
    return run.finish(run.write("POST",
                                fmt::format("/v1/instances/{}/drain", words[2]),
                                "", 0),
                      "drain of " + words[2]);
}

exit_code inspect(session& run)
{
    constexpr std::array<std::string_view, 7> pages = {
        "members", "grants", "streams",    "moves",
        "log",     "routes", "evacuations"};
    const auto& words = run.options().words;
    const std::string page = words.size() > 1 ? words[1] : "";
    if (std::find(pages.begin(), pages.end(), page) == pages.end())
    {
        return run.refuse(fmt::format("inspect: found \"{}\", allowed {}", page,
                                      fmt::join(pages, ", ")));
    }
    const auto answer = run.get("/v1/inspect/" + page);
    if (!answer)
    {
        return run.fail(answer.error());
    }
    if (answer->status != ok)
    {
        return run.report(*answer, "inspect " + page);
    }
    run.show(answer->body);
    return exit_code::done;
}

exit_code trace(const ctl_options& options, command_output& output)
{
    constexpr std::size_t file_word = 1;
    constexpr std::size_t trace_word = 2;
    if (options.words.size() <= file_word)
    {
        output.errors += "trace: allowed FILE [TRACE_ID]\n";
        return exit_code::bad_usage;
    }
    const auto text = protocol::read_text_file(options.words[file_word]);
    if (!text)
    {
        output.errors += text.error().text + '\n';
        return exit_code::bad_usage;
    }
    const auto& words = options.words;
    const auto drawn =
        draw_trace(*text, words.size() > trace_word ? words[trace_word] : "");
    if (!drawn)
    {
        output.errors += drawn.error().text + '\n';
        return exit_code::failed;
    }
    output.text += *drawn;
    return exit_code::done;
}

/// Reads the log files that the words name, from a place on.
///
/// @return Nothing when one cannot be read; the errors say why.
std::optional<std::vector<std::string>>
read_logs(const std::vector<std::string>& words, std::size_t first,
          command_output& output)
{
    std::vector<std::string> logs;
    for (auto at = first; at < words.size(); ++at)
    {
        auto text = protocol::read_text_file(words[at]);
        if (!text)
        {
            output.errors += text.error().text + '\n';
            return std::nullopt;
        }
        logs.push_back(std::move(*text));
    }
    return logs;
}

exit_code explain(const ctl_options& options, command_output& output)
{
    constexpr std::size_t request_word = 1;
    constexpr std::size_t first_file = 2;
    const auto& words = options.words;
    if (words.size() <= first_file)
    {
        output.errors += "explain: allowed REQUEST_ID FILE...\n";
        return exit_code::bad_usage;
    }
    const auto logs = read_logs(words, first_file, output);
    if (!logs)
    {
        return exit_code::bad_usage;
    }
    const auto told = explain_request(words[request_word], *logs);
    if (!told)
    {
        output.errors += told.error().text + '\n';
        return exit_code::failed;
    }
    output.text += *told;
    return exit_code::done;
}

exit_code analyze(const ctl_options& options, command_output& output)
{
    constexpr std::size_t first_file = 1;
    if (options.words.size() <= first_file)
    {
        output.errors += "analyze: allowed FILE...\n";
        return exit_code::bad_usage;
    }
    const auto logs = read_logs(options.words, first_file, output);
    if (!logs)
    {
        return exit_code::bad_usage;
    }
    const auto sums = analyze_logs(*logs);
    if (!sums)
    {
        output.errors += sums.error().text + '\n';
        return exit_code::failed;
    }
    switch (options.format)
    {
    case output_format::text:
        output.text += text_of(*sums);
        break;
    case output_format::json:
        output.text += json_of(*sums).dump(2) + '\n';
        break;
    case output_format::svg:
        output.text += svg_of(*sums);
        break;
    }
    return exit_code::done;
}

} // namespace

exit_code run_command(const ctl_options& options, const transport::clock& clock,
                      command_output& output)
{
    const auto& command = options.words.front();
    if (command == "trace")
    {
        return trace(options, output);
    }
    if (command == "explain")
    {
        return explain(options, output);
    }
    if (command == "analyze")
    {
        return analyze(options, output);
    }
    session run(options, clock, output);
    if (command == "contract")
    {
        return run_declaration_command(run, declaration_kind::contract);
    }
    if (command == "service")
    {
        return run_declaration_command(run, declaration_kind::service);
    }
    if (command == "move")
    {
        return run_move_command(run);
    }
    if (command == "instance")
    {
        return drain(run);
    }
    if (command == "evacuation")
    {
        return run_evacuation_command(run);
    }
    if (command == "inspect")
    {
        return inspect(run);
    }
    return run.refuse(fmt::format("found \"{}\", allowed contract, service, "
                                  "move, instance, evacuation, inspect, "
                                  "trace, explain, analyze",
                                  command));
}

} // namespace hyssopdeal::ctl
