#ifndef HYSSOPDEAL_PROGRAMS_CTL_TRACE_VIEW_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_TRACE_VIEW_HPP

/// @file
/// Draws the spans of one request as a text waterfall.
///
/// Index: [draw_trace]

#include <string>
#include <string_view>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::ctl
{

// [draw_trace] ---------------------------------------------------------------

/// Draws one trace of a file in which each line is an OTLP JSON export
/// (`resourceSpans`) or one span.
///
/// @param text The file's text; lines that are not JSON are skipped.
/// @param trace_id Trace wanted; empty: the one that started last.
/// @return One line for each span: name, start, duration and a bar, children
///     below their parent; or `not_found`.
[[nodiscard]] transport::result<std::string>
draw_trace(std::string_view text, std::string_view trace_id);

} // namespace hyssopdeal::ctl

#endif
