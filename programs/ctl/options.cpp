#include "ctl/options.hpp"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include <fmt/format.h>

namespace hyssopdeal::ctl
{

namespace
{

constexpr const char* settings_variable = "HYSSOPCTL_SETTINGS";
constexpr std::chrono::seconds default_wait{60};

constexpr std::string_view usage_text =
    R"(usage: hyssopctl [OPTION]... COMMAND ARGUMENT...

commands
  contract apply FILE...     write contracts; unchanged files change nothing
  contract get NAME          print a contract as a file
  contract list              names and revisions
  contract diff FILE...      what apply would change
  contract delete NAME
  service apply|get|list|diff|delete   as for contracts; `shares` in a file
                             counts only when the service is new
  move start SERVICE VERSION --by TIME [--canary SHARE] [--watch SECONDS]
                             TIME: 2026-05-01T18:00:00Z or +SECONDS
  move status [SERVICE]      with --wait: until the move has ended
  move cancel SERVICE
  instance drain NAME
  evacuation begin DOMAIN    send nothing new to the servers of a failure domain
  evacuation end DOMAIN      withdraw that order
  evacuation list            domains evacuated now, and since when
  inspect members|grants|streams|moves|log|routes|evacuations
  trace FILE [TRACE_ID]      draw a request's spans (OTLP JSON lines)
  explain ID FILE...         what was decided on a request, from the logs of
                             instances (JSON lines), in order of time
  analyze FILE...            where requests were lost or late, by second, route,
                             organisation and failure domain, from the same
                             logs

options
  --settings FILE       control addresses and token file, JSON with comments
                        (default: $HYSSOPCTL_SETTINGS)
  --control IP:PORT     operators' API of a control replica; may be repeated
  --token-file FILE     operator's token, mode 600
  --wait[=SECONDS]      until it is in force everywhere (default 60)
  --order-id ID         resend an order: gets the first answer again
  --revision N          write only when the record still has this revision
  --time-limit SECONDS  of one order, with its retries (default 10)
  --json                print JSON
  --svg                 print a picture (analyze)
  --check               read the settings and files named, send nothing
  --help, --version

exit codes
  0 done  1 refused, nothing changed  2 bad usage or file  3 another write won
  4 accepted, not in force everywhere in time  5 may have run: resend it with
  the printed --order-id  6 no control replica reached, not run  7 differs
  8 the move was taken back or cancelled
)";

enum option_number : int
{
    settings_option = 256,
    control_option,
    token_option,
    wait_option,
    order_option,
    revision_option,
    limit_option,
    json_option,
    svg_option,
    check_option,
    by_option,
    canary_option,
    watch_option,
    help_option,
    version_option
};

const std::array<option, 16> known_options = {{
    {"settings", required_argument, nullptr, settings_option},
    {"control", required_argument, nullptr, control_option},
    {"token-file", required_argument, nullptr, token_option},
    {"wait", optional_argument, nullptr, wait_option},
    {"order-id", required_argument, nullptr, order_option},
    {"revision", required_argument, nullptr, revision_option},
    {"time-limit", required_argument, nullptr, limit_option},
    {"json", no_argument, nullptr, json_option},
    {"svg", no_argument, nullptr, svg_option},
    {"check", no_argument, nullptr, check_option},
    {"by", required_argument, nullptr, by_option},
    {"canary", required_argument, nullptr, canary_option},
    {"watch", required_argument, nullptr, watch_option},
    {"help", no_argument, nullptr, help_option},
    {"version", no_argument, nullptr, version_option},
    {nullptr, 0, nullptr, 0},
}};

// What getopt_long collects before the files are read.
struct raw_options
{
    ctl_options options;
    std::string settings_file;
    std::vector<std::string> control;
    std::string token_file;
    bool check = false;
    std::string mistake;
};

template <class Number>
Number number_of(const char* text, std::string_view name, raw_options& raw)
{
    Number value{};
    const std::string_view view(text);
    const auto [stop, error] =
        std::from_chars(view.data(), view.data() + view.size(), value);
    if (error != std::errc{} || stop != view.data() + view.size() || value < 0)
    {
        raw.mistake = fmt::format(
            "--{}: found \"{}\", allowed a number, not negative", name, view);
    }
    return value;
}

std::chrono::seconds seconds_of(const char* text, std::string_view name,
                                raw_options& raw)
{
    constexpr std::int64_t most = 86'400;
    const auto value = number_of<std::int64_t>(text, name, raw);
    if (value > most)
    {
        raw.mistake = fmt::format("--{}: found {}, allowed 0 to {} seconds",
                                  name, value, most);
    }
    return std::chrono::seconds{value};
}

void take_order_option(int number, raw_options& raw)
{
    auto& options = raw.options;
    switch (number)
    {
    case wait_option:
        options.wait =
            optarg == nullptr ? default_wait : seconds_of(optarg, "wait", raw);
        break;
    case order_option:
        options.order_id = optarg;
        break;
    case revision_option:
        options.expected = number_of<std::uint64_t>(optarg, "revision", raw);
        break;
    case limit_option:
        options.time_limit = seconds_of(optarg, "time-limit", raw);
        break;
    case by_option:
        options.by = optarg;
        break;
    case canary_option:
        options.largest_canary_share = number_of<double>(optarg, "canary", raw);
        break;
    case watch_option:
        options.watch = seconds_of(optarg, "watch", raw);
        break;
    default:
        raw.mistake = "try --help";
        break;
    }
}

void take_option(int number, raw_options& raw)
{
    switch (number)
    {
    case settings_option:
        raw.settings_file = optarg;
        break;
    case control_option:
        raw.control.emplace_back(optarg);
        break;
    case token_option:
        raw.token_file = optarg;
        break;
    case json_option:
        raw.options.format = output_format::json;
        break;
    case svg_option:
        raw.options.format = output_format::svg;
        break;
    case check_option:
        raw.check = true;
        break;
    default:
        take_order_option(number, raw);
        break;
    }
}

exit_code refuse(std::string_view text)
{
    fmt::print(stderr, "{}\n", text);
    return exit_code::bad_usage;
}

// Commands that talk to no control replica need no settings.
bool is_local(const ctl_options& options)
{
    constexpr std::array<std::string_view, 3> local = {"trace", "explain",
                                                       "analyze"};
    return !options.words.empty() &&
           std::find(local.begin(), local.end(), options.words.front()) !=
               local.end();
}

std::optional<exit_code> read_files(raw_options& raw)
{
    auto& options = raw.options;
    const char* from_environment = std::getenv(settings_variable);
    if (raw.settings_file.empty() && from_environment != nullptr)
    {
        raw.settings_file = from_environment;
    }
    if (!raw.settings_file.empty())
    {
        auto read =
            protocol::read_settings_file<ctl_settings>(raw.settings_file);
        if (!read)
        {
            return refuse(read.error().text);
        }
        options.settings = *read;
    }
    if (!raw.control.empty())
    {
        options.settings.control = raw.control;
    }
    if (!raw.token_file.empty())
    {
        options.settings.token_file = raw.token_file;
    }
    if (options.settings.control.empty())
    {
        return refuse("No control address: give --settings or --control.");
    }
    if (!options.settings.token_file.empty())
    {
        auto token = protocol::read_secret_file(options.settings.token_file);
        if (!token)
        {
            return refuse(token.error().text);
        }
        options.token = *token;
    }
    return {};
}

} // namespace

void describe(protocol::settings_fields& fields, ctl_settings& value)
{
    constexpr std::size_t max_replicas = 16;
    fields.text_list("control", value.control, protocol::text_rule::address,
                     max_replicas);
    fields.text("token_file", value.token_file);
}

ctl_options read_options(int argc, char** argv, std::optional<exit_code>& end)
{
    raw_options raw;
    int number = 0;
    while ((number = getopt_long(argc, argv, "", known_options.data(),
                                 nullptr)) != -1)
    {
        if (number == help_option)
        {
            fmt::print("{}", usage_text);
            end = exit_code::done;
            return {};
        }
        if (number == version_option)
        {
            fmt::print("hyssopctl {}\n", HYSSOPDEAL_VERSION);
            end = exit_code::done;
            return {};
        }
        take_option(number, raw);
    }
    raw.options.words.assign(argv + optind, argv + argc);
    if (!raw.mistake.empty())
    {
        end = refuse(raw.mistake);
        return {};
    }
    if (!is_local(raw.options))
    {
        end = read_files(raw);
    }
    if (!end && raw.check && raw.options.words.empty())
    {
        fmt::print("The settings are valid.\n");
        end = exit_code::done;
    }
    if (!end && raw.options.words.empty())
    {
        end = refuse(usage_text);
    }
    return raw.options;
}

} // namespace hyssopdeal::ctl
