#ifndef HYSSOPDEAL_PROGRAMS_CTL_EXPLAIN_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_EXPLAIN_HPP

/// @file
/// Leads from a request's id to its cause: its lines in the structured logs,
/// and what its instance had come to believe shortly before.
///
/// Index: [explain_request]

#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::ctl
{

// [explain_request] ----------------------------------------------------------

/// Prints what was decided on a request.
///
/// @param request Its id.
/// @param logs Texts of log files of any processes; lines that are not JSON
///     are skipped.
/// @return One line for each decision on the request, in order of time, and
///     for each change that touched its instance since five seconds before;
///     or `not_found`.
[[nodiscard]] transport::result<std::string>
explain_request(std::string_view request, const std::vector<std::string>& logs);

} // namespace hyssopdeal::ctl

#endif
