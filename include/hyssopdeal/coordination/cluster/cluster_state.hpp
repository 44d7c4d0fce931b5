#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_STATE_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_STATE_HPP

/// @file
/// What a cluster of control replicas keeps: the configuration document, the
/// usage reports that were decided, the version moves that were ordered, and the
/// entries that may hold grants.
/// Deterministic: all times come in the commands.
///
/// Index: [commands] [cluster_state]

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [commands] -----------------------------------------------------------------

/// Puts a document in force if its version is higher than the one held.
struct put_document_command
{
    std::uint64_t version = 0;
    std::string bytes; ///< As the operator sent them.
};

/// Decides the counts of a window; the first decision stays.
struct decide_usage_command
{
    std::uint64_t window = 0;
    std::map<std::string, std::uint64_t> counts; ///< By organisation.
};

/// Where a move of a service to another version is.
enum class rollout_state : std::uint8_t
{
    running,
    completed,
    rolled_back
};

/// A move of a service to another version.
struct rollout_record
{
    std::string service;
    std::string target;           ///< Version.
    std::int64_t duration_ms = 0; ///< To be complete by then.
    std::int64_t started_ms = 0;  ///< True time of the order.
    rollout_state state = rollout_state::running;
    std::set<std::string> retired; ///< Versions that were taken back before.

    bool operator==(const rollout_record&) const = default;
};

/// Orders a move or ends it. An order that is held already changes nothing, nor
/// does the end of a move that has ended.
struct put_rollout_command
{
    rollout_record record;
};

/// Entries that may be granted shares; replaces the list.
struct set_entries_command
{
    std::set<std::string> entries; ///< Names of instances.
};

using cluster_command = std::variant<put_document_command, decide_usage_command,
                                     put_rollout_command, set_entries_command>;

[[nodiscard]] std::string encode(const cluster_command& command);

/// @return The command, or `corrupt`.
[[nodiscard]] transport::result<cluster_command>
decode_cluster_command(std::string_view bytes);

// [cluster_state] ------------------------------------------------------------

/// The replicated state.
class cluster_state
{
public:
    /// Windows whose decision is kept: enough to send each again until it is
    /// overdue.
    static constexpr std::size_t kept_windows = 12;

    void apply(const cluster_command& command);

    /// @return The version in force; 0 before the first document.
    [[nodiscard]] std::uint64_t document_version() const noexcept
    {
        return document_version_;
    }

    /// @return The document in force as it was sent.
    [[nodiscard]] const std::string& document() const noexcept
    {
        return document_;
    }

    [[nodiscard]] const std::deque<decide_usage_command>& usage() const noexcept
    {
        return usage_;
    }

    [[nodiscard]] const std::map<std::string, rollout_record>&
    rollouts() const noexcept
    {
        return rollouts_;
    }

    /// @return Entries that may hold shares of an earlier leader.
    [[nodiscard]] const std::set<std::string>& entries() const noexcept
    {
        return entries_;
    }

    [[nodiscard]] std::string encode_snapshot() const;

    /// @return `corrupt` when the bytes are not understood; then unchanged.
    [[nodiscard]] transport::result<void>
    restore_snapshot(std::string_view bytes);

private:
    void take(const put_document_command& command);
    void take(const decide_usage_command& command);
    void take(const put_rollout_command& command);
    void take(const set_entries_command& command);

    std::uint64_t document_version_ = 0;
    std::string document_;
    std::deque<decide_usage_command> usage_;         ///< By window, rising.
    std::map<std::string, rollout_record> rollouts_; ///< By service.
    std::set<std::string> entries_;
};

} // namespace hyssopdeal::coordination

#endif
