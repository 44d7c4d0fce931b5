#ifndef HYSSOPDEAL_TRANSPORT_EVENT_LOG_HPP
#define HYSSOPDEAL_TRANSPORT_EVENT_LOG_HPP

/// @file
/// Structured logs: one JSON object a line on standard output, for each
/// decision about a request and each change of what the process believes.
/// Bounded in volume, and never waits for the reader of its output.
///
/// Index: [event_field] [writing] [setup]
///
/// Never log request text, answer text, a key or a token.

#include <chrono>
#include <concepts>
#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include <fmt/format.h>

namespace hyssopdeal::transport
{

// [event_field] --------------------------------------------------------------

/// @return The text as a JSON string, quotes included.
[[nodiscard]] std::string quote_json(std::string_view text);

/// One member of a line.
class event_field
{
public:
    template <class Value>
    requires std::integral<Value> || std::floating_point<Value>
    event_field(std::string_view named, Value value)
        : name(named),
          json(fmt::format("{}", value))
    {}

    event_field(std::string_view named, bool value)
        : name(named),
          json(value ? "true" : "false")
    {}

    template <class Rep, class Period>
    event_field(std::string_view named, std::chrono::duration<Rep, Period> span)
        : name(named),
          json(fmt::format(
              "{}", std::chrono::duration_cast<std::chrono::milliseconds>(span)
                        .count()))
    {}

    event_field(std::string_view named, std::string_view text)
        : name(named),
          json(quote_json(text))
    {}

    event_field(std::string_view named, const char* text)
        : event_field(named, std::string_view{text})
    {}

    event_field(std::string_view named, const std::string& text)
        : event_field(named, std::string_view{text})
    {}

    std::string_view name;
    std::string json; ///< Value as JSON.
};

// [writing] ------------------------------------------------------------------

/// Writes one line, unless the process has written too many of late: those are
/// counted, and the count is told with the next line. Call it on one thread.
///
/// @param event What happened, as `part.verb`.
void log_event(std::string_view event,
               std::initializer_list<event_field> fields);

/// @return Lines that were not written since the start.
[[nodiscard]] std::size_t dropped_events() noexcept;

// [setup] --------------------------------------------------------------------

/// Volume and names.
struct event_log_settings
{
    std::string instance;               ///< On each line.
    std::size_t lines_per_second = 400; ///< On average; more are dropped.
    std::size_t burst_lines = 2'000;
    std::size_t queued_lines = 4'096; ///< Waiting for the output.
};

/// Starts writing; until then lines are dropped without a count.
void start_event_log(const event_log_settings& settings);

/// Writes what still waits and stops.
void stop_event_log();

} // namespace hyssopdeal::transport

#endif
