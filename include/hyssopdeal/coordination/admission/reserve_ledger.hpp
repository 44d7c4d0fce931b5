#ifndef HYSSOPDEAL_COORDINATION_ADMISSION_RESERVE_LEDGER_HPP
#define HYSSOPDEAL_COORDINATION_ADMISSION_RESERVE_LEDGER_HPP

/// @file
/// The leader's account of the reserves of tokens that entries hold for the
/// time in which no leader answers. Does no I/O.
///
/// Index: [settings] [reserve_ledger]
///
/// Bound. The leader lends a part of each quota from a token bucket of capacity
/// C and refill rate r. Let O be the reserves that entries may still use. A
/// grant moves tokens from the bucket to O, a return moves them back, and the
/// bucket's capacity is C - O, so level + O <= C at all times. What is used in a
/// window of length w, from the bucket and from reserves, is at most
/// (level + O at its start) + r w <= C + r w, which is the bound without
/// reserves. Expired reserves are lost, which only lowers it. A request larger
/// than the bucket is admitted when the bucket is full, as without reserves:
/// level + O is then C, so the debt is no larger than it was.
///
/// A new leader knows no reserves. It assumes that `max_fraction` of C is held
/// for each organisation, the most that the former leader grants, and grants
/// none itself until every entry that may hold some has reported what it holds,
/// or all have expired. Its bucket starts with a quarter of C as before, which
/// is at most C - O, so level + O <= C holds from its start. In a window that
/// began under the former leader, that leader's bucket and reserves together
/// are within C + r w as above, and the new bucket adds the quarter of C that a
/// change of leader could always add.

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <hyssopdeal/coordination/gateway/token_quota.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct reserve_ledger_settings
{
    /// Not less than on the entries, where it starts earlier.
    std::chrono::milliseconds valid_for{3'750};
    /// Largest part of an organisation's bucket that is granted as reserves. The
    /// rest is what a new bucket holds, for requests during a change of leader.
    double max_fraction = 0.75;
    /// Part of the bucket that grants leave. An organisation that has exhausted
    /// its quota gets no reserves.
    double min_level = 0.15;
    /// After a declined request, entries hold no reserves of its organisation
    /// for this time: they would take from the burst that its quota allows. As
    /// long as the window in which the use of quotas is measured.
    std::chrono::milliseconds exhausted_for{8'000};
};

// [reserve_ledger] -----------------------------------------------------------

/// Runs on the leader; constructed anew for each leadership.
class reserve_ledger
{
public:
    /// @param now Start of the leadership.
    explicit reserve_ledger(transport::monotonic_time now,
                            reserve_ledger_settings settings = {});

    /// Must be called after each change of the shared quota's organisations or
    /// shares, before tokens are taken from it.
    void on_quota_changed(transport::monotonic_time now, token_quota& shared);

    /// Grants and renews reserves.
    ///
    /// @param eligible Entries that may hold any, as in the replicated state.
    /// @param shared The part of the quotas that the leader lends.
    /// @return What the entry holds from now on, for its report with reserves;
    ///     empty for a report without.
    [[nodiscard]] protocol::reserve_orders
    on_report(transport::monotonic_time now,
              const protocol::entry_report& report,
              const std::set<std::string>& eligible, token_quota& shared);

    /// Records that the shared quota had too few tokens for a request.
    void on_declined(transport::monotonic_time now,
                     const std::string& organisation);

    /// @return Tokens that entries hold, as far as they have reported.
    [[nodiscard]] double outstanding(const std::string& organisation) const;

private:
    struct entry_state
    {
        std::map<std::string, double> held; ///< By organisation.
        transport::monotonic_time expires_at{};
    };

    void release(const entry_state& entry, token_quota& shared,
                 transport::monotonic_time now);
    void update(transport::monotonic_time now,
                const std::set<std::string>& eligible, token_quota& shared);
    [[nodiscard]] bool exhausted(transport::monotonic_time now,
                                 const std::string& organisation) const;
    [[nodiscard]] double grant(transport::monotonic_time now,
                               const std::string& organisation,
                               const protocol::organisation_reserve& reported,
                               token_quota& shared);

    reserve_ledger_settings settings_;
    transport::monotonic_time leader_since_;
    bool assuming_ = true; ///< Entries may hold reserves of a former leader.
    std::map<std::string, entry_state> entries_;
    std::map<std::string, double> outstanding_; ///< By organisation.
    std::map<std::string, transport::monotonic_time> declined_at_;
    transport::monotonic_time next_sweep_{};
};

} // namespace hyssopdeal::coordination

#endif
