#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_STATE_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_STATE_HPP

/// @file
/// The replicated state of a cluster: the configuration document, the decided
/// usage counts, the rollouts of service versions, the entries that may hold
/// quota shares, the prompts that are quarantined because they crash servers,
/// and the evacuated failure domains. Deterministic: all times are taken from the commands.
///
/// Index: [commands] [cluster_state]

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [commands] -----------------------------------------------------------------

/// Replaces the configuration document if the version is higher.
struct put_document_command
{
    std::uint64_t version = 0;
    std::string bytes; ///< As the operator sent them.
};

/// Decides the usage counts of a window. Later decisions on the same window are
/// ignored.
struct decide_usage_command
{
    std::uint64_t window = 0;
    std::map<std::string, std::uint64_t> counts; ///< By organisation.
};

/// Progress of a rollout.
enum class rollout_state : std::uint8_t
{
    running,
    completed,
    rolled_back
};

/// Rollout of a service version.
struct rollout_record
{
    std::string service;
    std::string target;           ///< Version to roll out.
    std::int64_t duration_ms = 0; ///< Time limit, from the start.
    std::int64_t started_ms = 0;  ///< True time of the order, Unix ms.
    rollout_state state = rollout_state::running;
    std::set<std::string> retired; ///< Rolled back or superseded versions.

    bool operator==(const rollout_record&) const = default;
};

/// Starts or ends a rollout. A repeated order, or an end of a rollout that has
/// ended already, has no effect.
struct put_rollout_command
{
    rollout_record record;
};

/// Replaces the list of entries that may be granted quota shares.
struct set_entries_command
{
    std::set<std::string> entries; ///< Names of instances.
};

/// A prompt that is not sent to servers because it crashes them.
struct quarantine_record
{
    protocol::part_ids parts;  ///< A request is refused if it has all of them.
    std::int64_t until_ms = 0; ///< True time, Unix ms.
    std::int64_t duration_ms = 0; ///< From its start to `until_ms`.

    bool operator==(const quarantine_record&) const = default;
};

/// Puts a quarantine in force, or prolongs one.
struct put_quarantine_command
{
    quarantine_record record;
};

/// Ends a quarantine whose prompt was answered.
struct lift_quarantine_command
{
    protocol::part_ids parts;
};

/// Begins or ends the evacuation of a failure domain.
struct put_evacuation_command
{
    std::string domain;
    bool evacuated = false;
    std::int64_t at_ms = 0; ///< True time of the order, Unix ms.
};

using cluster_command =
    std::variant<put_document_command, decide_usage_command,
                 put_rollout_command, set_entries_command,
                 put_quarantine_command, lift_quarantine_command,
                 put_evacuation_command>;

/// @return Whether a quarantine is in force.
[[nodiscard]] bool in_force(const quarantine_record& record,
                            transport::wall_time true_now);

[[nodiscard]] std::string encode(const cluster_command& command);

/// @return The command, or `corrupt` if the bytes cannot be decoded.
[[nodiscard]] transport::result<cluster_command>
decode_cluster_command(std::string_view bytes);

// [cluster_state] ------------------------------------------------------------

/// The state machine that the log's commands are applied to.
class cluster_state
{
public:
    /// Number of usage windows whose decision is kept; enough to resend each
    /// one until it is overdue.
    static constexpr std::size_t max_usage_windows = 12;
    /// Number of quarantines that are kept; the ones that end first go.
    static constexpr std::size_t max_quarantines = 64;

    void apply(const cluster_command& command);

    /// @return The document's version; 0 before the first document.
    [[nodiscard]] std::uint64_t document_version() const noexcept
    {
        return document_version_;
    }

    /// @return The document as the operator sent it.
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

    /// @return Entries that may hold shares, also from earlier leaders.
    [[nodiscard]] const std::set<std::string>& entries() const noexcept
    {
        return entries_;
    }

    /// @return Quarantines by their parts: those in force, and some that have
    ///     ended.
    [[nodiscard]] const std::map<protocol::part_ids, quarantine_record>&
    quarantines() const noexcept
    {
        return quarantines_;
    }

    /// @return When each evacuated failure domain was ordered to be evacuated,
    ///     in true time, Unix ms.
    [[nodiscard]] const std::map<std::string, std::int64_t>&
    evacuations() const noexcept
    {
        return evacuations_;
    }

    /// @return Whether an order to evacuate the domain, or to end that, was
    ///     ever accepted.
    [[nodiscard]] bool knows_domain(const std::string& domain) const
    {
        return ordered_domains_.contains(domain);
    }

    /// @return Number of changes of the set of evacuated domains.
    [[nodiscard]] std::uint64_t evacuation_revision() const noexcept
    {
        return evacuation_revision_;
    }

    [[nodiscard]] std::string encode_snapshot() const;

    /// @return `corrupt` if the bytes cannot be decoded; the state is then
    ///     unchanged.
    [[nodiscard]] transport::result<void>
    restore_snapshot(std::string_view bytes);

private:
    void apply_command(const put_document_command& command);
    void apply_command(const decide_usage_command& command);
    void apply_command(const put_rollout_command& command);
    void apply_command(const set_entries_command& command);
    void apply_command(const put_quarantine_command& command);
    void apply_command(const lift_quarantine_command& command);
    void apply_command(const put_evacuation_command& command);

    std::uint64_t document_version_ = 0;
    std::string document_;
    std::deque<decide_usage_command> usage_;         ///< In order of windows.
    std::map<std::string, rollout_record> rollouts_; ///< By service.
    std::set<std::string> entries_;
    std::map<protocol::part_ids, quarantine_record> quarantines_;
    std::map<std::string, std::int64_t> evacuations_; ///< By domain.
    std::uint64_t evacuation_revision_ = 0;
    std::set<std::string> ordered_domains_; ///< Of all evacuation orders.
};

} // namespace hyssopdeal::coordination

#endif
