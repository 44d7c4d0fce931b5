/// @file
/// Data folders outside of a running process: prepare, verify, export.

#include <hyssopdeal/coordination/control_process.hpp>

#include <filesystem>

#include <fmt/format.h>

#include <hyssopdeal/state/log_storage.hpp>
#include <hyssopdeal/transport/json_text.hpp>

#include "coordination/control_json.hpp"

namespace hyssopdeal::coordination
{

namespace
{

using storage_type = state::log_storage<state::posix_files>;
using transport::fail;
using transport::reason;

/// Reads a folder that must exist, so that none is made by mistake.
transport::result<state::recovered_state> read_folder(const std::string& folder)
{
    if (!std::filesystem::is_directory(folder))
    {
        return fail(reason::storage_failed,
                    fmt::format("{} is not a folder.", folder));
    }
    storage_type storage{state::posix_files{folder}};
    auto recovered = storage.verify();
    if (recovered && recovered->hard.id == 0)
    {
        return fail(reason::storage_failed,
                    fmt::format("{} holds no replica.", folder));
    }
    return recovered;
}

transport::result<void> apply_record(state::control_state& state,
                                     const state::log_record& record)
{
    const state::record_position position{record.index, record.term};
    if (record.kind == state::record_kind::empty)
    {
        state.apply_empty(position);
        return {};
    }
    if (record.kind == state::record_kind::replicas)
    {
        const auto set = state::decode_replica_set(record.payload);
        if (!set)
        {
            return tl::make_unexpected(set.error());
        }
        state.apply(position, *set);
        return {};
    }
    const auto command = state::decode_command(record.payload);
    if (!command)
    {
        return tl::make_unexpected(command.error());
    }
    (void)state.apply(position, *command);
    return {};
}

transport::result<state::control_state>
replay(const state::recovered_state& recovered)
{
    state::control_state state;
    if (recovered.snap.bytes)
    {
        const auto restored = state.restore_snapshot(*recovered.snap.bytes);
        if (!restored)
        {
            return tl::make_unexpected(restored.error());
        }
    }
    for (const auto& record : recovered.records)
    {
        const auto applied = apply_record(state, record);
        if (!applied)
        {
            return fail(reason::corrupt,
                        fmt::format("Record {}: {}", record.index,
                                    applied.error().text));
        }
    }
    return state;
}

} // namespace

transport::result<void> prepare_folder(const control_settings& settings,
                                       folder_start start)
{
    state::posix_files files{settings.data_folder};
    const auto names = files.list();
    if (!names)
    {
        return tl::make_unexpected(names.error());
    }
    if (!names->empty())
    {
        return fail(reason::storage_failed,
                    fmt::format("{} is not empty.", settings.data_folder));
    }
    const auto set = first_replicas(settings);
    const bool named = std::any_of(
        set.members.begin(), set.members.end(),
        [&](const auto& member) { return member.id == settings.id; });
    if (start == folder_start::new_cluster && !named)
    {
        return fail(reason::bad_settings,
                    fmt::format("replicas does not name id {}.", settings.id));
    }
    storage_type storage{std::move(files)};
    const auto opened = storage.open();
    if (!opened)
    {
        return tl::make_unexpected(opened.error());
    }
    return storage.write(start == folder_start::new_cluster
                             ? bootstrap_request(settings.id, set)
                             : join_request(settings.id));
}

transport::result<folder_report> verify_folder(const std::string& folder)
{
    const auto recovered = read_folder(folder);
    if (!recovered)
    {
        return tl::make_unexpected(recovered.error());
    }
    const auto state = replay(*recovered);
    if (!state)
    {
        return tl::make_unexpected(state.error());
    }
    const auto& records = recovered->records;
    return folder_report{
        recovered->hard.id, recovered->hard.term, recovered->snap.index,
        records.empty() ? recovered->snap.index : records.back().index,
        recovered->torn_bytes};
}

transport::result<std::string> export_folder(const std::string& folder)
{
    const auto recovered = read_folder(folder);
    if (!recovered)
    {
        return tl::make_unexpected(recovered.error());
    }
    const auto state = replay(*recovered);
    if (!state)
    {
        return tl::make_unexpected(state.error());
    }
    return transport::json_text(export_json(*state), 2) + "\n";
}

} // namespace hyssopdeal::coordination
