/// @file
/// The load and experiment tool; `hyssop-load --help` tells its options.

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/logging.hpp>

#include "load/load_commands.hpp"

int main(int argc, char** argv)
{
    using namespace hyssopdeal;
    transport::setup_logging(transport::log_level::warning);
    std::optional<load::load_exit> end;
    const auto options = load::read_options(argc, argv, end);
    if (end)
    {
        return static_cast<int>(*end);
    }
    const transport::system_clock clock;
    return static_cast<int>(load::run_load(options, clock));
}
