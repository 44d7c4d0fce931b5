/// @file
/// A replica with the cluster's state.

#include <hyssopdeal/coordination/cluster/cluster_machine.hpp>

#include <map>
#include <utility>

namespace hyssopdeal::coordination
{

using state::log_index;
using transport::fail;
using transport::monotonic_time;
using transport::reason;
using transport::verdict;
using transport::wall_time;

namespace
{

/// A proposal whose record is in the leader's log.
struct pending_proposal
{
    std::uint64_t id = 0;
    state::term_number term = 0;
    monotonic_time due{};
};

} // namespace

struct cluster_machine::impl
{
    impl(cluster_machine_settings own_settings,
         state::recovered_state recovered, std::uint64_t seed,
         monotonic_time now)
        : settings(own_settings),
          core(own_settings.replica, std::move(recovered), seed, now)
    {}

    cluster_actions take(replica_actions actions, monotonic_time now,
                         wall_time wall);
    void restore(const state::snapshot& snap);
    void apply(const state::log_record& record);
    void resolve(const state::log_record& record);
    void fail_pending(monotonic_time now);
    void maybe_compact(monotonic_time now, wall_time wall);

    cluster_machine_settings settings;
    cluster_state held;
    replica core;
    std::multimap<log_index, pending_proposal> pending;
    cluster_actions out;
    log_index applied_index = 0;
    state::term_number applied_term = 0;
    state::replica_set applied_set;
    log_index snapshot_index = 0;
    std::size_t bytes_since_snapshot = 0;
    std::string defect; ///< Why nothing is applied any more.
};

// [applying] -----------------------------------------------------------------

void cluster_machine::impl::restore(const state::snapshot& snap)
{
    if (snap.bytes)
    {
        if (const auto done = held.restore_snapshot(*snap.bytes); !done)
        {
            defect = done.error().text;
            return;
        }
    }
    applied_index = snap.index;
    applied_term = snap.term;
    applied_set = snap.replicas;
    snapshot_index = snap.index;
    bytes_since_snapshot = 0;
    out.applied = true;
    while (!pending.empty() && pending.begin()->first <= snap.index)
    {
        out.results.push_back(
            {pending.begin()->second.id,
             fail(reason::no_quorum, "The result was not seen.",
                  verdict::may_have_run)});
        pending.erase(pending.begin());
    }
}

void cluster_machine::impl::apply(const state::log_record& record)
{
    bytes_since_snapshot += record.payload.size();
    applied_index = record.index;
    applied_term = record.term;
    out.applied = true;
    if (record.kind == state::record_kind::replicas)
    {
        auto set = state::decode_replica_set(record.payload);
        if (!set)
        {
            defect = set.error().text;
            return;
        }
        applied_set = std::move(*set);
    }
    else if (record.kind == state::record_kind::command)
    {
        const auto command = decode_cluster_command(record.payload);
        if (!command)
        {
            defect = command.error().text;
            return;
        }
        held.apply(*command);
    }
    resolve(record);
}

/// A proposal whose index holds a record of another term was not written.
void cluster_machine::impl::resolve(const state::log_record& record)
{
    const auto range = pending.equal_range(record.index);
    for (auto at = range.first; at != range.second; ++at)
    {
        cluster_result ended{at->second.id, {}};
        if (at->second.term != record.term)
        {
            ended.done =
                fail(reason::not_leader, "Another leader was elected first.");
        }
        out.results.push_back(std::move(ended));
    }
    pending.erase(range.first, range.second);
}

void cluster_machine::impl::fail_pending(monotonic_time now)
{
    const bool all = core.halted();
    for (auto at = pending.begin(); at != pending.end();)
    {
        if (!all && at->second.due > now)
        {
            ++at;
            continue;
        }
        out.results.push_back(
            {at->second.id,
             fail(reason::no_quorum, "No majority answered in time.",
                  verdict::may_have_run)});
        at = pending.erase(at);
    }
}

void cluster_machine::impl::maybe_compact(monotonic_time now, wall_time wall)
{
    const bool due =
        applied_index - snapshot_index >= settings.snapshot_records ||
        (bytes_since_snapshot >= settings.snapshot_bytes &&
         applied_index > snapshot_index);
    if (!due)
    {
        return;
    }
    snapshot_index = applied_index;
    bytes_since_snapshot = 0;
    compact_event event;
    event.snap = {applied_index, applied_term, applied_set,
                  std::make_shared<const std::string>(held.encode_snapshot())};
    auto actions = core.step(now, wall, std::move(event));
    if (actions.persist)
    {
        out.persist = std::move(actions.persist);
    }
    for (auto& message : actions.sends)
    {
        out.sends.push_back(std::move(message));
    }
}

// [steps] --------------------------------------------------------------------

cluster_actions cluster_machine::impl::take(replica_actions actions,
                                            monotonic_time now, wall_time wall)
{
    out = {};
    out.persist = std::move(actions.persist);
    out.sends = std::move(actions.sends);
    out.change = actions.change;
    for (auto& answer : actions.answers)
    {
        if (!answer.index)
        {
            out.results.push_back(
                {answer.id, tl::make_unexpected(answer.index.error())});
            continue;
        }
        pending.emplace(*answer.index,
                        pending_proposal{answer.id, answer.term,
                                         now + settings.propose_time_limit});
    }
    if (actions.restore)
    {
        restore(*actions.restore);
    }
    for (const auto& record : actions.applies)
    {
        if (defect.empty())
        {
            apply(record);
        }
    }
    if (!defect.empty())
    {
        (void)core.step(now, wall, disk_failed_event{});
        out.persist.reset();
        out.sends.clear();
        out.change = leadership_change::changed;
    }
    else if (!core.halted())
    {
        maybe_compact(now, wall);
    }
    fail_pending(now);
    return std::exchange(out, {});
}

transport::result<cluster_machine>
cluster_machine::make(cluster_machine_settings settings,
                      state::recovered_state recovered, std::uint64_t seed,
                      monotonic_time now)
{
    const auto snap = recovered.snap;
    auto made =
        std::make_unique<impl>(settings, std::move(recovered), seed, now);
    made->restore(snap);
    made->out = {};
    if (!made->defect.empty())
    {
        return fail(reason::corrupt, made->defect);
    }
    return cluster_machine{std::move(made)};
}

cluster_machine::cluster_machine(std::unique_ptr<impl> made) noexcept
    : impl_(std::move(made))
{}

cluster_machine::cluster_machine(cluster_machine&&) noexcept = default;
cluster_machine&
cluster_machine::operator=(cluster_machine&&) noexcept = default;
cluster_machine::~cluster_machine() = default;

cluster_actions cluster_machine::step(monotonic_time now, wall_time wall,
                                      replica_event event)
{
    return impl_->take(impl_->core.step(now, wall, std::move(event)), now,
                       wall);
}

cluster_actions cluster_machine::propose(monotonic_time now, wall_time wall,
                                         std::uint64_t id,
                                         const cluster_command& command)
{
    return step(now, wall, propose_event{id, encode(command)});
}

// [reading] ------------------------------------------------------------------

const cluster_state& cluster_machine::state() const noexcept
{
    return impl_->held;
}

bool cluster_machine::may_read(monotonic_time now) const
{
    return impl_->core.may_read(now);
}

replica_status cluster_machine::status(monotonic_time now) const
{
    return impl_->core.status(now);
}

std::vector<follower_status> cluster_machine::followers() const
{
    return impl_->core.followers();
}

wall_time cluster_machine::quorum_wall(monotonic_time now, wall_time own) const
{
    return impl_->core.quorum_wall(now, own);
}

} // namespace hyssopdeal::coordination
