/// @file
/// The replicated state of a cluster.

#include <hyssopdeal/coordination/cluster/cluster_state.hpp>

#include <algorithm>

#include "coordination/cluster/rollout_json.hpp"
#include "protocol/message_pack.hpp"

namespace hyssopdeal::coordination
{

using json = protocol::exact_json;
using transport::fail;
using transport::reason;

HYSSOPDEAL_EXACT_JSON(put_document_command, version, bytes)
HYSSOPDEAL_EXACT_JSON(decide_usage_command, window, counts)
HYSSOPDEAL_EXACT_JSON(put_rollout_command, record)
HYSSOPDEAL_EXACT_JSON(set_entries_command, entries)
HYSSOPDEAL_EXACT_JSON(quarantine_record, parts, until_ms, duration_ms)
HYSSOPDEAL_EXACT_JSON(put_quarantine_command, record)
HYSSOPDEAL_EXACT_JSON(lift_quarantine_command, parts)
HYSSOPDEAL_EXACT_JSON(put_evacuation_command, domain, evacuated, at_ms)

// [commands] -----------------------------------------------------------------

std::string encode(const cluster_command& command)
{
    const auto body =
        std::visit([](const auto& value) { return json(value); }, command);
    return protocol::pack_message(json::array({command.index(), body}));
}

transport::result<cluster_command>
decode_cluster_command(std::string_view bytes)
{
    try
    {
        const auto decoded = json::from_msgpack(bytes.begin(), bytes.end());
        const auto type = decoded.at(0).get<std::size_t>();
        const auto& body = decoded.at(1);
        switch (type)
        {
        case 0:
            return body.get<put_document_command>();
        case 1:
            return body.get<decide_usage_command>();
        case 2:
            return body.get<put_rollout_command>();
        case 3:
            return body.get<set_entries_command>();
        case 4:
            return body.get<put_quarantine_command>();
        case 5:
            return body.get<lift_quarantine_command>();
        case 6:
            return body.get<put_evacuation_command>();
        default:
            return fail(reason::corrupt, "Unknown kind of command.");
        }
    }
    catch (const json::exception& error)
    {
        return fail(reason::corrupt, error.what());
    }
}

// [applying] -----------------------------------------------------------------

void cluster_state::apply(const cluster_command& command)
{
    std::visit([this](const auto& value) { apply_command(value); }, command);
}

void cluster_state::apply_command(const put_document_command& command)
{
    if (command.version > document_version_)
    {
        document_version_ = command.version;
        document_ = command.bytes;
    }
}

void cluster_state::apply_command(const decide_usage_command& command)
{
    const bool before_first =
        !usage_.empty() && command.window < usage_.front().window;
    const auto position = std::lower_bound(
        usage_.begin(), usage_.end(), command.window,
        [](const auto& held, auto window) { return held.window < window; });
    const bool decided =
        position != usage_.end() && position->window == command.window;
    if (decided || (before_first && usage_.size() >= max_usage_windows))
    {
        return;
    }
    usage_.insert(position, command);
    if (usage_.size() > max_usage_windows)
    {
        usage_.pop_front();
    }
}

void cluster_state::apply_command(const put_rollout_command& command)
{
    const auto& ordered = command.record;
    const auto found = rollouts_.find(ordered.service);
    if (found == rollouts_.end())
    {
        rollouts_[ordered.service] = ordered;
        return;
    }
    auto& current = found->second;
    if (current.target == ordered.target)
    {
        current.state = current.state == rollout_state::running ? ordered.state
                                                                : current.state;
        return;
    }
    // A version that was rolled back, or whose rollout has not ended, gets no
    // requests during the next rollout.
    auto retired = std::move(current.retired);
    if (current.state != rollout_state::completed)
    {
        retired.insert(current.target);
    }
    retired.erase(ordered.target);
    current = ordered;
    current.retired = std::move(retired);
}

void cluster_state::apply_command(const set_entries_command& command)
{
    entries_ = command.entries;
}

bool in_force(const quarantine_record& record, transport::wall_time true_now)
{
    return true_now <
           transport::wall_time{std::chrono::milliseconds{record.until_ms}};
}

void cluster_state::apply_command(const put_quarantine_command& command)
{
    const auto& record = command.record;
    const auto started_ms = record.until_ms - record.duration_ms;
    std::erase_if(quarantines_, [&](const auto& item) {
        return item.second.until_ms + item.second.duration_ms < started_ms;
    });
    quarantines_[record.parts] = record;
    if (quarantines_.size() > max_quarantines)
    {
        quarantines_.erase(std::min_element(
            quarantines_.begin(), quarantines_.end(),
            [](const auto& left, const auto& right) {
                return left.second.until_ms < right.second.until_ms;
            }));
    }
}

void cluster_state::apply_command(const lift_quarantine_command& command)
{
    quarantines_.erase(command.parts);
}

void cluster_state::apply_command(const put_evacuation_command& command)
{
    const bool changed =
        command.evacuated
            ? evacuations_.emplace(command.domain, command.at_ms).second
            : evacuations_.erase(command.domain) > 0;
    evacuation_revision_ += changed ? 1 : 0;
    ordered_domains_.insert(command.domain);
}

// [snapshots] ----------------------------------------------------------------

std::string cluster_state::encode_snapshot() const
{
    return protocol::pack_message(
        json{{"document_version", document_version_},
             {"document", document_},
             {"usage", usage_},
             {"rollouts", rollouts_},
             {"entries", entries_},
             {"quarantines", quarantines_},
             {"evacuations", evacuations_},
             {"evacuation_revision", evacuation_revision_},
             {"ordered_domains", ordered_domains_}});
}

transport::result<void> cluster_state::restore_snapshot(std::string_view bytes)
{
    try
    {
        const auto decoded = json::from_msgpack(bytes.begin(), bytes.end());
        cluster_state next;
        decoded.at("document_version").get_to(next.document_version_);
        decoded.at("document").get_to(next.document_);
        decoded.at("usage").get_to(next.usage_);
        decoded.at("rollouts").get_to(next.rollouts_);
        decoded.at("entries").get_to(next.entries_);
        // Missing in snapshots of earlier versions.
        if (decoded.contains("quarantines"))
        {
            decoded.at("quarantines").get_to(next.quarantines_);
        }
        if (decoded.contains("evacuations"))
        {
            decoded.at("evacuations").get_to(next.evacuations_);
            decoded.at("evacuation_revision").get_to(next.evacuation_revision_);
        }
        if (decoded.contains("ordered_domains"))
        {
            decoded.at("ordered_domains").get_to(next.ordered_domains_);
        }
        *this = std::move(next);
        return {};
    }
    catch (const json::exception& error)
    {
        return fail(reason::corrupt, error.what());
    }
}

} // namespace hyssopdeal::coordination
