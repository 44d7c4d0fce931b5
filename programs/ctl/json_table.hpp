#ifndef HYSSOPDEAL_PROGRAMS_CTL_JSON_TABLE_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_JSON_TABLE_HPP

/// @file
/// Shows JSON answers to people.
///
/// Index: [json_table]

#include <string>
#include <vector>

namespace hyssopdeal::ctl
{

// [json_table] ---------------------------------------------------------------

/// Shows a JSON text: a list of objects, or an object that holds one, becomes
/// a table with a column for each key; anything else is indented JSON.
///
/// @param keys Columns wanted, in this order; empty: every key.
[[nodiscard]] std::string json_table(const std::string& json,
                                     const std::vector<std::string>& keys = {});

} // namespace hyssopdeal::ctl

#endif
