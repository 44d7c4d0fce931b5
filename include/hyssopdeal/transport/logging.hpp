#ifndef HYSSOPDEAL_TRANSPORT_LOGGING_HPP
#define HYSSOPDEAL_TRANSPORT_LOGGING_HPP

/// @file
/// One-line logs with a fixed prefix for each part of the program.
///
/// Index: [parts] [writing] [setup]
///
/// Never log request text, answer text, a key or a token.

#include <string>
#include <string_view>

#include <fmt/format.h>

namespace hyssopdeal::transport
{

// [parts] --------------------------------------------------------------------

/// The part of the program that a line comes from; its name is the prefix.
enum class log_part
{
    route,
    limit,
    member,
    log, ///< The replicated log.
    move,
    fleet,
    stream,
    ledger,
    http,
    peer,
    process
};

/// How much a line matters.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

// [writing] ------------------------------------------------------------------

/// Writes one line; safe to call from any thread.
///
/// @param level How much it matters.
/// @param part Where it comes from.
/// @param text A short sentence, fields as `key=value`.
void write_log(log_level level, log_part part, std::string_view text);

/// Writes one line at level info, formatted as by fmt::format.
template <class... Args>
void log_info(log_part part, fmt::format_string<Args...> text, Args&&... args)
{
    write_log(log_level::info, part,
              fmt::format(text, std::forward<Args>(args)...));
}

/// Writes one line at level warning, formatted as by fmt::format.
template <class... Args>
void log_warning(log_part part, fmt::format_string<Args...> text,
                 Args&&... args)
{
    write_log(log_level::warning, part,
              fmt::format(text, std::forward<Args>(args)...));
}

/// Writes one line at level error, formatted as by fmt::format.
template <class... Args>
void log_error(log_part part, fmt::format_string<Args...> text, Args&&... args)
{
    write_log(log_level::error, part,
              fmt::format(text, std::forward<Args>(args)...));
}

// [setup] --------------------------------------------------------------------

/// Sends the log to standard error, one line each, from the given level up.
///
/// @param lowest Lines below it are dropped.
void setup_logging(log_level lowest);

} // namespace hyssopdeal::transport

#endif
