#include <hyssopdeal/transport/logging.hpp>

#include <array>
#include <atomic>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace hyssopdeal::transport
{

namespace
{

std::atomic<log_level> lowest_level{log_level::warning};

constexpr std::array<std::string_view, 11> part_names = {
    "route",  "limit",  "member", "log",  "move",   "fleet",
    "stream", "ledger", "http",   "peer", "process"};

} // namespace

void write_log(log_level level, log_part part, std::string_view text)
{
    if (level < lowest_level.load(std::memory_order_relaxed))
    {
        return;
    }
    const auto prefix = part_names.at(static_cast<std::size_t>(part));
    switch (level)
    {
    case log_level::debug:
        LOG(DEBUG) << prefix << ": " << text;
        break;
    case log_level::info:
        LOG(INFO) << prefix << ": " << text;
        break;
    case log_level::warning:
        LOG(WARNING) << prefix << ": " << text;
        break;
    case log_level::error:
        LOG(ERROR) << prefix << ": " << text;
        break;
    }
}

void setup_logging(log_level lowest)
{
    lowest_level.store(lowest);
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime %level %msg");
    el::Loggers::reconfigureAllLoggers(settings);
}

} // namespace hyssopdeal::transport
