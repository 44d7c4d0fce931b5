#ifndef HYSSOPDEAL_COORDINATION_CONTROL_SETTINGS_HPP
#define HYSSOPDEAL_COORDINATION_CONTROL_SETTINGS_HPP

/// @file
/// Settings of `hyssop-controld`.
///
/// Index: [replica_address] [operator_token] [control_settings]

#include <cstdint>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/control_machine.hpp>
#include <hyssopdeal/coordination/fleet_runner.hpp>
#include <hyssopdeal/coordination/learner.hpp>
#include <hyssopdeal/coordination/move_runner.hpp>
#include <hyssopdeal/protocol/settings_reader.hpp>

namespace hyssopdeal::coordination
{

// [replica_address] ----------------------------------------------------------

/// A control replica as the settings name it.
struct replica_address
{
    std::uint64_t id = 0;       ///< Never given to another disk.
    std::string name;           ///< Peer name.
    std::string failure_domain; ///< Where it runs.
    std::string address;        ///< `IP:port` of its peer links.
    std::string operators;      ///< `IP:port` of its operators' API.
    std::string gossip_address; ///< `IP:port` of its datagrams.
};

void describe(protocol::settings_fields& fields, replica_address& value);

// [operator_token] -----------------------------------------------------------

/// What an operator may do.
enum class operator_role : std::uint8_t
{
    read,
    write ///< Also reads.
};

/// A bearer token of an operator.
struct operator_token
{
    std::string sha256; ///< Of the token, 64 lower-case hex digits.
    operator_role role = operator_role::read;
};

void describe(protocol::settings_fields& fields, operator_token& value);

// [control_settings] ---------------------------------------------------------

/// Everything that one control process is told at its start.
struct control_settings
{
    std::uint64_t id = 0;              ///< Of this replica and its disk.
    std::string name;                  ///< Unique among all processes.
    std::string failure_domain;        ///< Where it runs.
    std::string data_folder;           ///< On the disk that is synced.
    std::string address = "127.0.0.1"; ///< IP number of all its ports.
    std::uint16_t peer_port = 0;       ///< TCP; 0: picked.
    std::uint16_t gossip_port = 0;     ///< UDP; 0: picked.
    std::uint16_t operators_port = 0;  ///< HTTP; 0: picked.
    std::size_t max_held_caller_bytes = 50'331'648; ///< Of all operators.
    std::string shared_key_file;           ///< Of peer links and datagrams.
    std::vector<operator_token> tokens;    ///< Of operators.
    std::vector<replica_address> replicas; ///< The first ones, this included.
    std::vector<replica_address> entries;  ///< First contacts of gossip.
    control_machine_settings machine;
    learning_settings learning;
    move_runner_settings moves;
    fleet_runner_settings fleet;
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, control_settings& value);

/// @return The replica set that a new cluster begins with.
[[nodiscard]] state::replica_set first_replicas(const control_settings& value);

} // namespace hyssopdeal::coordination

#endif
