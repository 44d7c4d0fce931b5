#include <hyssopdeal/coordination/entry_settings.hpp>

namespace hyssopdeal::coordination
{

using protocol::presence;
using protocol::settings_fields;
using protocol::text_rule;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t highest_port = 65'535;
constexpr std::int64_t highest_shards = 64;
constexpr std::int64_t highest_connections = 1'000'000;
constexpr std::int64_t highest_bytes = 1'073'741'824;
constexpr std::int64_t lowest_held_bytes = 65'536;
constexpr milliseconds shortest_limit{10};
constexpr milliseconds longest_limit{3'600'000};
constexpr std::size_t most_peers = 4'096;
constexpr std::size_t most_files = 4'096;

void describe_callers(settings_fields& fields, entry_settings& value)
{
    fields.text("address", value.address, text_rule::ip_number);
    fields.integer("port", value.port, 0, highest_port);
    fields.integer("shards", value.shards, 1, highest_shards);
    fields.integer("max_connections", value.max_connections, 1,
                   highest_connections);
    fields.integer("max_header_bytes", value.max_header_bytes, 1'024, 65'536);
    fields.integer("max_body_bytes", value.max_body_bytes, 1'024,
                   highest_bytes);
    fields.integer("max_held_caller_bytes", value.max_held_caller_bytes,
                   lowest_held_bytes, highest_bytes);
    fields.integer("max_answer_bytes", value.max_answer_bytes, 1'024,
                   highest_bytes);
    fields.integer("max_unsent_bytes", value.max_unsent_bytes, 4'096,
                   highest_bytes);
    fields.duration("read_time_limit_ms", value.read_time_limit, shortest_limit,
                    longest_limit);
    fields.duration("write_time_limit_ms", value.write_time_limit,
                    shortest_limit, longest_limit);
    fields.duration("connect_time_limit_ms", value.connect_time_limit,
                    shortest_limit, longest_limit);
    fields.duration("keep_alive_interval_ms", value.keep_alive_interval,
                    shortest_limit, longest_limit);
}

void describe_policies(settings_fields& fields, entry_settings& value)
{
    fields.choice<missing_key>("without_key", value.without_key,
                               {{missing_key::refuse, "refuse"},
                                {missing_key::run_unguarded, "run_unguarded"}});
    fields.choice<balancer_kind>(
        "balancer", value.balancer,
        {{balancer_kind::predicted_first_token, "predicted_first_token"},
         {balancer_kind::round_robin, "round_robin"},
         {balancer_kind::least_reported_load, "least_reported_load"},
         {balancer_kind::power_of_two_reported, "power_of_two_reported"}});
    fields.choice<copy_order>("stream_copy", value.stream_copy,
                              {{copy_order::before_send, "before_send"},
                               {copy_order::behind, "behind"}});
}

void describe_peers(settings_fields& fields, entry_settings& value)
{
    fields.text("shared_key_file", value.shared_key_file);
    fields.text("peer_address", value.peer_address_ip, text_rule::ip_number);
    fields.integer("peer_port", value.peer_port, 0, highest_port);
    fields.integer("gossip_port", value.gossip_port, 0, highest_port);
    fields.list("control_replicas", value.control_replicas, most_peers);
    fields.list("entries", value.entries, most_peers);
}

} // namespace

void describe(settings_fields& fields, peer_address& value)
{
    fields.text("name", value.name, text_rule::name, presence::required);
    fields.text("failure_domain", value.failure_domain, text_rule::name);
    fields.text("address", value.address, text_rule::address);
    fields.text("gossip_address", value.gossip_address, text_rule::address);
}

void describe(settings_fields& fields, entry_settings& value)
{
    fields.text("name", value.name, text_rule::name, presence::required);
    fields.text("failure_domain", value.failure_domain, text_rule::name,
                presence::required);
    describe_callers(fields, value);
    describe_policies(fields, value);
    describe_peers(fields, value);
    fields.text("trace_file", value.trace_file);
    fields.text_list("contract_files", value.contract_files,
                     text_rule::file_path, most_files);
    fields.text_list("service_files", value.service_files, text_rule::file_path,
                     most_files);
}

} // namespace hyssopdeal::coordination
