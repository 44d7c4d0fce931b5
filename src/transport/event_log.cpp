/// @file
/// Structured logs on spdlog's bounded asynchronous queue.

#include <hyssopdeal/transport/event_log.hpp>
#include <hyssopdeal/transport/json_text.hpp>

#include <algorithm>
#include <iterator>
#include <memory>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace hyssopdeal::transport
{

namespace
{

using std::chrono::steady_clock;

/// The one log of the process; used by one thread.
struct event_log_state
{
    event_log_settings settings;
    std::shared_ptr<spdlog::async_logger> logger;
    double allowance = 0; ///< Lines that may be written now.
    steady_clock::time_point refilled{};
    std::size_t dropped = 0;
    std::size_t dropped_told = 0;

    bool take_line()
    {
        const auto now = steady_clock::now();
        const std::chrono::duration<double> passed = now - refilled;
        refilled = now;
        allowance = std::min(
            static_cast<double>(settings.burst_lines),
            allowance + passed.count() *
                            static_cast<double>(settings.lines_per_second));
        if (allowance < 1)
        {
            ++dropped;
            return false;
        }
        allowance -= 1;
        return true;
    }
};

event_log_state& log_state()
{
    static event_log_state state;
    return state;
}

} // namespace

std::string quote_json(std::string_view text)
{
    const bool plain = std::all_of(text.begin(), text.end(), [](char at) {
        return at >= ' ' && at <= '~' && at != '"' && at != '\\';
    });
    if (plain)
    {
        return fmt::format("\"{}\"", text);
    }
    return ascii_json_text(text);
}

void log_event(std::string_view event,
               std::initializer_list<event_field> fields)
{
    auto& state = log_state();
    if (!state.logger || !state.take_line())
    {
        return;
    }
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    fmt::memory_buffer line;
    auto out = std::back_inserter(line);
    fmt::format_to(out, R"({{"at_ms":{},"instance":{},"event":"{}")",
                   wall.count(), state.settings.instance, event);
    for (const auto& field : fields)
    {
        fmt::format_to(out, ",\"{}\":{}", field.name, field.json);
    }
    if (state.dropped > state.dropped_told)
    {
        fmt::format_to(out, ",\"dropped_lines\":{}", state.dropped);
        state.dropped_told = state.dropped;
    }
    fmt::format_to(out, "}}");
    state.logger->info(std::string_view{line.data(), line.size()});
}

std::size_t dropped_events() noexcept
{
    return log_state().dropped;
}

void start_event_log(const event_log_settings& settings)
{
    auto& state = log_state();
    state.settings = settings;
    state.settings.instance = quote_json(settings.instance);
    state.allowance = static_cast<double>(settings.burst_lines);
    state.refilled = steady_clock::now();
    spdlog::init_thread_pool(settings.queued_lines, 1);
    state.logger = std::make_shared<spdlog::async_logger>(
        "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    state.logger->set_pattern("%v");
    // An on-call engineer reads a process that has just died.
    state.logger->flush_on(spdlog::level::info);
}

void stop_event_log()
{
    log_state().logger.reset();
    spdlog::shutdown();
}

} // namespace hyssopdeal::transport
