/// @file
/// The operators' program; `hyssopctl --help` tells its commands.

#include <cstdio>

#include <fmt/format.h>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/logging.hpp>

#include "ctl/commands.hpp"
#include "ctl/options.hpp"

int main(int argc, char** argv)
{
    using namespace hyssopdeal;
    transport::setup_logging(transport::log_level::warning);
    std::optional<ctl::exit_code> end;
    const auto options = ctl::read_options(argc, argv, end);
    if (end)
    {
        return static_cast<int>(*end);
    }
    const transport::system_clock clock;
    ctl::command_output output;
    const auto code = ctl::run_command(options, clock, output);
    fmt::print("{}", output.text);
    fmt::print(stderr, "{}", output.errors);
    return static_cast<int>(code);
}
