#include "load/options.hpp"

#include <getopt.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>

#include <fmt/format.h>

namespace hyssopdeal::load
{

namespace
{

constexpr std::string_view usage_text =
    R"(usage: hyssop-load --scenario FILE --entry IP:PORT... [OPTION]...
       hyssop-load --ask FILE --path PATH --key KEY --entry IP:PORT...
       hyssop-load --compare OLD.json NEW.json

  --scenario FILE    JSON with comments; see examples/*/scenarios
  --entry IP:PORT    an entry instance; may be repeated, taken in turn
  --engine IP:PORT   engine stand-in whose counters are read; may be repeated
  --plain IP:PORT    plain service stand-in that counts the purchases' keys;
                     may be repeated; all of them are needed for the check
  --rate R, --duration SECONDS, --seed N   in place of the scenario's
  --json FILE, --csv FILE, --svg PREFIX    write results, calls, pictures
  --ask FILE         send this chat completion as a stream, print its text as
                     it comes, resume it if it breaks, and check it
  --path PATH        target of --ask, such as /v1/sidra-llm/critique
  --key KEY          caller's key of --ask
  --leave-after N    with --ask: leave after N events and come back elsewhere
  --check            only read the scenario
  --help, --version

exit codes
  0 run to the end, every promise kept  1 wrong or cut text, a purchase run
  against what its caller was told, or an answer not whole  2 bad usage or file
)";

enum option_number : int
{
    scenario_option = 256,
    entry_option,
    engine_option,
    plain_option,
    rate_option,
    duration_option,
    seed_option,
    json_option,
    csv_option,
    svg_option,
    ask_option,
    path_option,
    key_option,
    leave_option,
    compare_option,
    check_option,
    help_option,
    version_option
};

const std::array<option, 19> known_options = {{
    {"scenario", required_argument, nullptr, scenario_option},
    {"entry", required_argument, nullptr, entry_option},
    {"engine", required_argument, nullptr, engine_option},
    {"plain", required_argument, nullptr, plain_option},
    {"rate", required_argument, nullptr, rate_option},
    {"duration", required_argument, nullptr, duration_option},
    {"seed", required_argument, nullptr, seed_option},
    {"json", required_argument, nullptr, json_option},
    {"csv", required_argument, nullptr, csv_option},
    {"svg", required_argument, nullptr, svg_option},
    {"ask", required_argument, nullptr, ask_option},
    {"path", required_argument, nullptr, path_option},
    {"key", required_argument, nullptr, key_option},
    {"leave-after", required_argument, nullptr, leave_option},
    {"compare", no_argument, nullptr, compare_option},
    {"check", no_argument, nullptr, check_option},
    {"help", no_argument, nullptr, help_option},
    {"version", no_argument, nullptr, version_option},
    {nullptr, 0, nullptr, 0},
}};

template <class Number>
Number number_of(std::string_view name, std::string& mistake)
{
    Number value{};
    const std::string_view text(optarg);
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || value < 0)
    {
        mistake = fmt::format(
            "--{}: found \"{}\", allowed a number, not negative", name, text);
    }
    return value;
}

void take_question_option(int number, load_options& options,
                          std::string& mistake)
{
    switch (number)
    {
    case ask_option:
        options.command = load_command::ask;
        options.input_file = optarg;
        break;
    case path_option:
        options.question.path = optarg;
        break;
    case key_option:
        options.question.key = optarg;
        break;
    case leave_option:
        options.question.leave_after =
            number_of<std::uint32_t>("leave-after", mistake);
        break;
    case compare_option:
        options.command = load_command::compare;
        break;
    case check_option:
        options.command = load_command::check;
        break;
    default:
        mistake = "try --help";
        break;
    }
}

void take_output_option(int number, load_options& options, std::string& mistake)
{
    switch (number)
    {
    case json_option:
        options.json_file = optarg;
        break;
    case csv_option:
        options.csv_file = optarg;
        break;
    case svg_option:
        options.svg_prefix = optarg;
        break;
    case rate_option:
        options.rate = number_of<double>("rate", mistake);
        break;
    case duration_option:
        options.duration =
            std::chrono::seconds{number_of<std::uint32_t>("duration", mistake)};
        break;
    case seed_option:
        options.seed = number_of<std::uint64_t>("seed", mistake);
        break;
    default:
        take_question_option(number, options, mistake);
        break;
    }
}

void take_option(int number, load_options& options, std::string& mistake)
{
    switch (number)
    {
    case scenario_option:
        options.input_file = optarg;
        break;
    case entry_option:
        options.targets.entries.emplace_back(optarg);
        break;
    case engine_option:
        options.targets.engines.emplace_back(optarg);
        break;
    case plain_option:
        options.targets.plain.emplace_back(optarg);
        break;
    default:
        take_output_option(number, options, mistake);
        break;
    }
}

std::string missing(const load_options& options, int words)
{
    constexpr int compared_files = 2;
    if (options.command == load_command::compare)
    {
        return words == compared_files ? "" : "--compare: allowed OLD NEW";
    }
    if (options.input_file.empty())
    {
        return std::string(usage_text);
    }
    if (options.command != load_command::check &&
        options.targets.entries.empty())
    {
        return "--entry: found none, allowed one or more";
    }
    return {};
}

} // namespace

load_options read_options(int argc, char** argv, std::optional<load_exit>& end)
{
    load_options options;
    std::string mistake;
    int number = 0;
    while ((number = getopt_long(argc, argv, "", known_options.data(),
                                 nullptr)) != -1)
    {
        if (number == help_option || number == version_option)
        {
            fmt::print("{}", number == help_option
                                 ? std::string(usage_text)
                                 : fmt::format("hyssop-load {}\n",
                                               HYSSOPDEAL_VERSION));
            end = load_exit::done;
            return options;
        }
        take_option(number, options, mistake);
    }
    if (mistake.empty())
    {
        mistake = missing(options, argc - optind);
    }
    if (!mistake.empty())
    {
        fmt::print(stderr, "{}\n", mistake);
        end = load_exit::bad_usage;
        return options;
    }
    if (options.command == load_command::compare)
    {
        options.old_file = argv[optind];
        options.new_file = argv[optind + 1];
    }
    return options;
}

} // namespace hyssopdeal::load
