/// @file
/// Replicated state machine of a cluster.

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

/// A proposal in the log that is not applied yet.
struct pending_proposal
{
    std::uint64_t id = 0;
    state::term_number term = 0;
    monotonic_time deadline{};
};

} // namespace

struct cluster_machine::impl
{
    impl(cluster_machine_settings own_settings,
         state::recovered_state recovered, std::uint64_t seed,
         monotonic_time now)
        : settings(own_settings),
          log(own_settings.replica, std::move(recovered), seed, now)
    {}

    cluster_actions process(replica_actions actions, monotonic_time now,
                            wall_time wall);
    void restore(const state::snapshot& snap);
    void apply(const state::log_record& record);
    void resolve(const state::log_record& record);
    void fail_pending(monotonic_time now);
    void compact_if_due(monotonic_time now, wall_time wall);

    cluster_machine_settings settings;
    cluster_state replicated;
    replica log;
    std::multimap<log_index, pending_proposal> pending;
    cluster_actions output;
    log_index applied_index = 0;
    state::term_number applied_term = 0;
    state::replica_set applied_replicas;
    log_index snapshot_index = 0;
    std::size_t bytes_since_snapshot = 0;
    std::string fatal_error; ///< If set, nothing is applied any more.
};

// [applying] -----------------------------------------------------------------

void cluster_machine::impl::restore(const state::snapshot& snap)
{
    if (snap.bytes)
    {
        if (const auto restored = replicated.restore_snapshot(*snap.bytes);
            !restored)
        {
            fatal_error = restored.error().text;
            return;
        }
    }
    applied_index = snap.index;
    applied_term = snap.term;
    applied_replicas = snap.replicas;
    snapshot_index = snap.index;
    bytes_since_snapshot = 0;
    output.applied = true;
    while (!pending.empty() && pending.begin()->first <= snap.index)
    {
        output.results.push_back(
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
    output.applied = true;
    if (record.kind == state::record_kind::replicas)
    {
        auto set = state::decode_replica_set(record.payload);
        if (!set)
        {
            fatal_error = set.error().text;
            return;
        }
        applied_replicas = std::move(*set);
    }
    else if (record.kind == state::record_kind::command)
    {
        const auto command = decode_cluster_command(record.payload);
        if (!command)
        {
            fatal_error = command.error().text;
            return;
        }
        replicated.apply(*command);
    }
    resolve(record);
}

/// Reports the proposals at the record's index. If the record is of another
/// term, the proposal was not committed.
void cluster_machine::impl::resolve(const state::log_record& record)
{
    const auto range = pending.equal_range(record.index);
    for (auto at = range.first; at != range.second; ++at)
    {
        cluster_result outcome{at->second.id, {}};
        if (at->second.term != record.term)
        {
            outcome.done =
                fail(reason::not_leader, "Another leader was elected first.");
        }
        output.results.push_back(std::move(outcome));
    }
    pending.erase(range.first, range.second);
}

void cluster_machine::impl::fail_pending(monotonic_time now)
{
    const bool halted = log.halted();
    for (auto at = pending.begin(); at != pending.end();)
    {
        if (!halted && at->second.deadline > now)
        {
            ++at;
            continue;
        }
        output.results.push_back(
            {at->second.id,
             fail(reason::no_quorum, "No majority answered in time.",
                  verdict::may_have_run)});
        at = pending.erase(at);
    }
}

void cluster_machine::impl::compact_if_due(monotonic_time now, wall_time wall)
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
    event.snap = {
        applied_index, applied_term, applied_replicas,
        std::make_shared<const std::string>(replicated.encode_snapshot())};
    auto actions = log.step(now, wall, std::move(event));
    if (actions.persist)
    {
        output.persist = std::move(actions.persist);
    }
    for (auto& message : actions.sends)
    {
        output.sends.push_back(std::move(message));
    }
}

// [steps] --------------------------------------------------------------------

cluster_actions cluster_machine::impl::process(replica_actions actions,
                                               monotonic_time now,
                                               wall_time wall)
{
    output = {};
    output.persist = std::move(actions.persist);
    output.sends = std::move(actions.sends);
    output.change = actions.change;
    for (auto& answer : actions.answers)
    {
        if (!answer.index)
        {
            output.results.push_back(
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
        if (fatal_error.empty())
        {
            apply(record);
        }
    }
    if (!fatal_error.empty())
    {
        // Halts the log replica.
        (void)log.step(now, wall, disk_failed_event{});
        output.persist.reset();
        output.sends.clear();
        output.change = leadership_change::changed;
    }
    else if (!log.halted())
    {
        compact_if_due(now, wall);
    }
    fail_pending(now);
    return std::exchange(output, {});
}

transport::result<cluster_machine>
cluster_machine::make(cluster_machine_settings settings,
                      state::recovered_state recovered, std::uint64_t seed,
                      monotonic_time now)
{
    const auto snapshot = recovered.snap;
    auto machine =
        std::make_unique<impl>(settings, std::move(recovered), seed, now);
    machine->restore(snapshot);
    machine->output = {};
    if (!machine->fatal_error.empty())
    {
        return fail(reason::corrupt, machine->fatal_error);
    }
    return cluster_machine{std::move(machine)};
}

cluster_machine::cluster_machine(std::unique_ptr<impl> implementation) noexcept
    : impl_(std::move(implementation))
{}

cluster_machine::cluster_machine(cluster_machine&&) noexcept = default;
cluster_machine&
cluster_machine::operator=(cluster_machine&&) noexcept = default;
cluster_machine::~cluster_machine() = default;

cluster_actions cluster_machine::step(monotonic_time now, wall_time wall,
                                      replica_event event)
{
    return impl_->process(impl_->log.step(now, wall, std::move(event)), now,
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
    return impl_->replicated;
}

bool cluster_machine::may_read(monotonic_time now) const
{
    return impl_->log.may_read(now);
}

replica_status cluster_machine::status(monotonic_time now) const
{
    return impl_->log.status(now);
}

std::vector<follower_status> cluster_machine::followers() const
{
    return impl_->log.followers();
}

wall_time cluster_machine::quorum_wall(monotonic_time now, wall_time own) const
{
    return impl_->log.quorum_wall(now, own);
}

} // namespace hyssopdeal::coordination
