#ifndef HYSSOPDEAL_COORDINATION_ENTRY_SETTINGS_HPP
#define HYSSOPDEAL_COORDINATION_ENTRY_SETTINGS_HPP

/// @file
/// Settings of `hyssop-entryd`, one JSON-with-comments file.
///
/// Index: [peer_address] [entry_settings]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/load_balancer_router.hpp>
#include <hyssopdeal/coordination/stream_record.hpp>
#include <hyssopdeal/protocol/settings_reader.hpp>

namespace hyssopdeal::coordination
{

// [peer_address] -------------------------------------------------------------

/// Another process of hyssopdeal.
struct peer_address
{
    std::string name;           ///< Unique.
    std::string failure_domain; ///< Where it runs.
    std::string address;        ///< `IP:port` of its peer links.
    std::string gossip_address; ///< `IP:port` of its datagrams.
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, peer_address& value);

// [entry_settings] -----------------------------------------------------------

/// Whether calls of at-most-once routes need an idempotency key.
enum class missing_key : std::uint8_t
{
    refuse,       ///< 400, not_run.
    run_unguarded ///< Sent once; a repeat by the caller runs again.
};

/// Everything that one entry process is told at its start.
struct entry_settings
{
    std::string name = "entry";        ///< Unique among all processes.
    std::string failure_domain;        ///< Where it runs.
    std::string address = "127.0.0.1"; ///< For callers.
    std::uint16_t port = 0;            ///< For callers; 0: picked.
    std::uint32_t shards = 1;          ///< Threads, each with its own loop.

    std::size_t max_connections = 10'000;              ///< Open callers.
    std::size_t max_header_bytes = 16'384;             ///< Of one request.
    std::size_t max_body_bytes = 1'048'576;            ///< Of one request.
    std::size_t max_held_caller_bytes = 50'331'648;    ///< Of all callers.
    std::size_t max_answer_bytes = 16'777'216;         ///< Of a backend server.
    std::chrono::milliseconds read_time_limit{10'000}; ///< Head and body.
    std::chrono::milliseconds write_time_limit{10'000};   ///< One write.
    std::chrono::milliseconds connect_time_limit{1'000};  ///< To servers.
    std::chrono::milliseconds keep_alive_interval{5'000}; ///< Comments.
    std::size_t max_unsent_bytes = 262'144; ///< Of one slow caller.

    missing_key without_key = missing_key::refuse;
    balancer_kind balancer = balancer_kind::predicted_first_token;
    copy_order stream_copy = copy_order::before_send;

    std::string shared_key_file;               ///< Of peer links.
    std::string peer_address_ip = "127.0.0.1"; ///< For peer links.
    std::uint16_t peer_port = 0;               ///< TCP; 0: picked.
    std::uint16_t gossip_port = 0;             ///< UDP; 0: picked.
    std::vector<coordination::peer_address> control_replicas;
    std::vector<coordination::peer_address> entries; ///< First contacts.

    std::string trace_file; ///< Spans as OTLP JSON lines; empty: none.
    std::vector<std::string> contract_files; ///< In force until a replica
                                             ///< is heard.
    std::vector<std::string> service_files;  ///< The same for services.
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, entry_settings& value);

} // namespace hyssopdeal::coordination

#endif
