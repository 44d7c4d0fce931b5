/// @file
/// Settings of `hyssop-controld`.

#include <hyssopdeal/coordination/control_settings.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

using protocol::presence;
using protocol::settings_fields;
using protocol::text_rule;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t highest_port = 65'535;
constexpr std::int64_t lowest_held_bytes = 65'536;
constexpr std::int64_t highest_held_bytes = 1'073'741'824;
constexpr std::int64_t highest_id = 1'000'000'000;
constexpr std::size_t most_peers = 4'096;
constexpr std::size_t most_tokens = 1'024;

/// A lease that outlives a follower's patience would let two leaders answer.
std::string lease_mistake(const replica_settings& value)
{
    constexpr int rate_margin_percent = 10;
    const auto longest =
        value.election_timeout * (100 - rate_margin_percent) / 100;
    return value.lease > longest ? std::to_string(value.lease.count()) : "";
}

void describe_log(settings_fields& fields, control_settings& value)
{
    auto& log = value.machine.replica;
    fields.duration("heartbeat_ms", log.heartbeat, milliseconds{10},
                    milliseconds{10'000});
    fields.duration("election_timeout_ms", log.election_timeout,
                    milliseconds{50}, milliseconds{60'000});
    fields.duration("lease_ms", log.lease, milliseconds{20},
                    milliseconds{60'000});
    fields.check(
        "lease_ms", [&log] { return lease_mistake(log); },
        "at most 90% of election_timeout_ms");
    fields.duration("propose_time_limit_ms", value.machine.propose_time_limit,
                    milliseconds{100}, milliseconds{60'000});
    fields.integer("snapshot_records", value.machine.snapshot_records, 100,
                   10'000'000);
    fields.integer("kept_records", log.kept_records, 100, 1'000'000);
    fields.integer("kept_bytes", log.kept_bytes, 65'536, 1'073'741'824);
    fields.duration("pull_interval_ms", value.learning.pull_interval,
                    milliseconds{50}, milliseconds{60'000});
}

} // namespace

void describe(settings_fields& fields, replica_address& value)
{
    fields.integer("id", value.id, 0, highest_id);
    fields.text("name", value.name, text_rule::name, presence::required);
    fields.text("failure_domain", value.failure_domain, text_rule::name);
    fields.text("address", value.address, text_rule::address);
    fields.text("operators", value.operators, text_rule::address);
    fields.text("gossip_address", value.gossip_address, text_rule::address);
}

void describe(settings_fields& fields, operator_token& value)
{
    fields.text("sha256", value.sha256, text_rule::sha256_hex,
                presence::required);
    fields.choice<operator_role>(
        "role", value.role,
        {{operator_role::read, "read"}, {operator_role::write, "write"}});
}

void describe(settings_fields& fields, control_settings& value)
{
    fields.integer("id", value.id, 1, highest_id, presence::required);
    fields.text("name", value.name, text_rule::name, presence::required);
    fields.text("failure_domain", value.failure_domain, text_rule::name,
                presence::required);
    fields.text("data_folder", value.data_folder, text_rule::file_path,
                presence::required);
    fields.text("address", value.address, text_rule::ip_number);
    fields.integer("peer_port", value.peer_port, 0, highest_port);
    fields.integer("gossip_port", value.gossip_port, 0, highest_port);
    fields.integer("operators_port", value.operators_port, 0, highest_port);
    fields.integer("max_held_caller_bytes", value.max_held_caller_bytes,
                   lowest_held_bytes, highest_held_bytes);
    fields.text("shared_key_file", value.shared_key_file, text_rule::file_path,
                presence::required);
    fields.list("tokens", value.tokens, most_tokens);
    fields.list("replicas", value.replicas, most_peers);
    fields.list("entries", value.entries, most_peers);
    describe_log(fields, value);
    fields.object("moves", value.moves);
    fields.object("fleet", value.fleet);
}

state::replica_set first_replicas(const control_settings& value)
{
    state::replica_set set;
    for (const auto& item : value.replicas)
    {
        set.members.push_back({item.id, item.name, item.address, item.operators,
                               item.failure_domain,
                               state::replica_role::voter});
        set.next_id = std::max(set.next_id, item.id + 1);
    }
    std::sort(set.members.begin(), set.members.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    return set;
}

} // namespace hyssopdeal::coordination
