#include "ctl/move_commands.hpp"

#include <charconv>
#include <ctime>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssopdeal::ctl
{

namespace
{

using nlohmann::json;

constexpr int ok = 200;
constexpr int not_found = 404;

std::string target_of(const std::string& service)
{
    return "/v1/moves/" + service;
}

std::string phase_in(const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    return value.is_object() ? value.value("phase", "") : "";
}

transport::result<std::uint64_t> revision_of(session& run,
                                             const std::string& service)
{
    const auto answer = run.get(target_of(service));
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    const auto value = json::parse(answer->body, nullptr, false);
    return answer->status == ok && value.is_object()
               ? value.value("revision", std::uint64_t{0})
               : 0;
}

std::string order_text(const ctl_options& options, transport::wall_time by)
{
    json body;
    body["version"] = options.words[3];
    body["complete_by_ms"] = by.time_since_epoch().count();
    body["largest_canary_share"] = options.largest_canary_share;
    body["watch_ms"] = std::chrono::milliseconds{options.watch}.count();
    return body.dump();
}

exit_code start(session& run)
{
    const auto& options = run.options();
    constexpr std::size_t words_needed = 4;
    if (options.words.size() != words_needed || options.by.empty())
    {
        return run.refuse("move start: allowed SERVICE VERSION --by TIME");
    }
    const auto by = parse_time(options.by, run.clock().wall_now());
    if (!by)
    {
        return run.refuse(by.error().text);
    }
    const auto& service = options.words[2];
    const auto revision = revision_of(run, service);
    if (!revision)
    {
        return run.fail(revision.error());
    }
    return run.finish(run.write("POST", target_of(service),
                                order_text(options, *by), *revision),
                      "move of " + service);
}

exit_code cancel(session& run)
{
    const auto& words = run.options().words;
    constexpr std::size_t words_needed = 3;
    if (words.size() != words_needed)
    {
        return run.refuse("move cancel: allowed SERVICE");
    }
    const auto revision = revision_of(run, words[2]);
    if (!revision)
    {
        return run.fail(revision.error());
    }
    return run.finish(run.write("DELETE", target_of(words[2]), "", *revision),
                      "move of " + words[2] + " cancelled");
}

// Reads a move until it has ended or the time is up.
exit_code wait_for_end(session& run, const std::string& service)
{
    const auto until = run.clock().monotonic_now() + *run.options().wait;
    while (true)
    {
        const auto answer = run.get(target_of(service));
        if (!answer)
        {
            return run.fail(answer.error());
        }
        if (answer->status != ok)
        {
            return run.report(*answer, "move of " + service);
        }
        const auto phase = phase_in(answer->body);
        const bool taken_back = phase == "taken_back" || phase == "cancelled";
        if (phase == "done" || taken_back)
        {
            run.show(answer->body);
            return taken_back ? exit_code::ended_without_move : exit_code::done;
        }
        if (run.clock().monotonic_now() >= until)
        {
            run.show(answer->body);
            return exit_code::not_everywhere;
        }
        run.pause();
    }
}

exit_code status(session& run)
{
    const auto& options = run.options();
    constexpr std::size_t words_of_one = 3;
    const bool one = options.words.size() == words_of_one;
    if (one && options.wait)
    {
        return wait_for_end(run, options.words[2]);
    }
    const auto answer =
        run.get(one ? target_of(options.words[2]) : std::string("/v1/moves"));
    if (!answer)
    {
        return run.fail(answer.error());
    }
    if (answer->status == not_found)
    {
        run.say("No move has been ordered.");
        return exit_code::failed;
    }
    if (answer->status != ok)
    {
        return run.report(*answer, "move");
    }
    run.show(answer->body);
    return exit_code::done;
}

} // namespace

transport::result<transport::wall_time> parse_time(std::string_view text,
                                                   transport::wall_time now)
{
    const auto bad = [text] {
        return transport::fail(
            transport::reason::bad_request,
            fmt::format("--by: found \"{}\", allowed 2026-05-01T18:00:00Z or "
                        "+SECONDS",
                        text));
    };
    if (text.starts_with('+'))
    {
        std::int64_t seconds = 0;
        const auto* end = text.data() + text.size();
        const auto [stop, error] =
            std::from_chars(text.data() + 1, end, seconds);
        if (error != std::errc{} || stop != end || seconds < 0)
        {
            return bad();
        }
        return now + std::chrono::seconds{seconds};
    }
    std::tm parts = {};
    const std::string copy(text);
    const char* stop = strptime(copy.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    if (stop == nullptr || *stop != '\0')
    {
        return bad();
    }
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::from_time_t(timegm(&parts)));
}

exit_code run_move_command(session& run)
{
    const auto& words = run.options().words;
    const std::string command = words.size() > 1 ? words[1] : "";
    if (command == "start")
    {
        return start(run);
    }
    if (command == "status")
    {
        return status(run);
    }
    if (command == "cancel")
    {
        return cancel(run);
    }
    return run.refuse(fmt::format(
        "move: found \"{}\", allowed start, status, cancel", command));
}

} // namespace hyssopdeal::ctl
