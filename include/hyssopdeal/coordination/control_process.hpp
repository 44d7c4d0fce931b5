#ifndef HYSSOPDEAL_COORDINATION_CONTROL_PROCESS_HPP
#define HYSSOPDEAL_COORDINATION_CONTROL_PROCESS_HPP

/// @file
/// One control process: a replica of the log with its disk, its peers, the
/// operators' API and the entries that follow it.
///
/// Index: [control_ports] [control_process] [folders]

#include <cstdint>
#include <memory>
#include <string>

#include <hyssopdeal/coordination/control_node.hpp>
#include <hyssopdeal/coordination/control_settings.hpp>
#include <hyssopdeal/coordination/membership_runner.hpp>
#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::coordination
{

// [control_ports] ------------------------------------------------------------

/// Ports in use.
struct control_ports
{
    std::uint16_t peers = 0;
    std::uint16_t gossip = 0;
    std::uint16_t operators = 0;
};

// [control_process] ----------------------------------------------------------

/// Runs on one loop's thread, with a thread of its own for the disk.
class control_process
{
public:
    control_process(transport::event_loop& loop, const transport::clock& clock,
                    control_settings settings);
    control_process(const control_process&) = delete;
    control_process& operator=(const control_process&) = delete;
    ~control_process();

    /// Opens the data folder and binds the ports.
    ///
    /// @return The ports, or why the process cannot run.
    [[nodiscard]] transport::result<control_ports> start();

    /// What the leader's controllers plug into; valid once started.
    [[nodiscard]] control_node& node() noexcept;

    /// Links to the other processes; valid once started.
    [[nodiscard]] protocol::peer_hub& hub() noexcept;

    /// Membership; valid once started.
    [[nodiscard]] membership_runner& members() noexcept;

    /// Hands leadership over, then stops the loop.
    void drain();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// [folders] ------------------------------------------------------------------

/// How an empty data folder is prepared.
enum class folder_start : std::uint8_t
{
    new_cluster, ///< With the replicas of the settings.
    join         ///< Under an id that an operator adds.
};

/// Prepares an empty data folder.
///
/// @return Why it was refused: a folder that holds anything is left alone.
[[nodiscard]] transport::result<void>
prepare_folder(const control_settings& settings, folder_start start);

/// What a data folder holds.
struct folder_report
{
    std::uint64_t id = 0;
    state::term_number term = 0;
    state::log_index snapshot_index = 0;
    state::log_index last_index = 0;
    std::uint64_t torn_bytes = 0; ///< Cut at the next start.
};

/// Reads every byte of a data folder and changes nothing.
///
/// @return `corrupt` with file and offset when it is damaged.
[[nodiscard]] transport::result<folder_report>
verify_folder(const std::string& folder);

/// @return The state at the end of a folder's log as JSON, records that were
///     perhaps never committed included.
[[nodiscard]] transport::result<std::string>
export_folder(const std::string& folder);

} // namespace hyssopdeal::coordination

#endif
