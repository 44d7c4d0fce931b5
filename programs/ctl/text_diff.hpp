#ifndef HYSSOPDEAL_PROGRAMS_CTL_TEXT_DIFF_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_TEXT_DIFF_HPP

/// @file
/// Differences of two texts by line.
///
/// Index: [text_diff]

#include <string>
#include <string_view>

namespace hyssopdeal::ctl
{

// [text_diff] ----------------------------------------------------------------

/// Compares two texts by line, keeping the longest common order.
///
/// @return Lines that differ, `-` for those only in `from`, `+` for those only
/// in `to`, and up to two equal lines around them; empty when equal.
[[nodiscard]] std::string text_diff(std::string_view from, std::string_view to);

} // namespace hyssopdeal::ctl

#endif
