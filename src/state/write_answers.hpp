#ifndef HYSSOPDEAL_SRC_STATE_WRITE_ANSWERS_HPP
#define HYSSOPDEAL_SRC_STATE_WRITE_ANSWERS_HPP

/// @file
/// Answers that several commands give. Internal.

#include <string>
#include <utility>

#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/state/declarations.hpp>

namespace hyssopdeal::state
{

inline write_result conflict(revision now)
{
    return {write_status::conflict, now, "The revision has changed."};
}

inline write_result missing()
{
    return {write_status::missing, 0, "No such record."};
}

inline write_result refused(revision now, std::string text)
{
    return {write_status::refused, now, std::move(text)};
}

template <class Record>
inline revision revision_of(const record_table<Record>& table,
                            const std::string& name)
{
    const auto found = table.find(name);
    return found == table.end() ? 0 : found->second.changed;
}

} // namespace hyssopdeal::state

#endif
