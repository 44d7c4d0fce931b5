/// @file
/// A replica with its state machine.

#include <hyssopdeal/coordination/control_machine.hpp>

#include <map>
#include <utility>

#include <hyssopdeal/state/commands.hpp>

namespace hyssopdeal::coordination
{

using state::log_index;
using transport::fail;
using transport::monotonic_time;
using transport::reason;
using transport::verdict;
using transport::wall_time;

// [impl] ---------------------------------------------------------------------

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

struct control_machine::impl
{
    impl(control_machine_settings own_settings,
         state::recovered_state recovered, std::uint64_t seed,
         monotonic_time now)
        : settings(own_settings),
          state(own_settings.ledger),
          core(own_settings.replica, std::move(recovered), seed, now)
    {}

    machine_actions take(replica_actions actions, monotonic_time now,
                         wall_time wall);
    void note_answers(std::vector<proposal_answer>& answers,
                      monotonic_time now);
    void restore(const state::snapshot& snap);
    void apply(state::log_record& record);
    void resolve(const state::log_record& record, state::command_result result);
    void fail_overdue(monotonic_time now);
    void fail_all(const std::string& text);
    void maybe_compact(monotonic_time now, wall_time wall);

    control_machine_settings settings;
    state::control_state state;
    replica core;
    std::multimap<log_index, pending_proposal> pending;
    machine_actions out;
    log_index snapshot_index = 0;
    std::size_t bytes_since_snapshot = 0;
    std::size_t last_snapshot_bytes = 0;
    std::string defect; ///< Why nothing is applied any more.
};

// [results] ------------------------------------------------------------------

void control_machine::impl::note_answers(std::vector<proposal_answer>& answers,
                                         monotonic_time now)
{
    for (auto& answer : answers)
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
}

/// A proposal whose index holds a record of another term was not written.
void control_machine::impl::resolve(const state::log_record& record,
                                    state::command_result result)
{
    const auto range = pending.equal_range(record.index);
    for (auto at = range.first; at != range.second; ++at)
    {
        if (at->second.term == record.term)
        {
            out.results.push_back({at->second.id, result});
            continue;
        }
        out.results.push_back(
            {at->second.id,
             fail(reason::not_leader, "Another leader was elected first.")});
    }
    pending.erase(range.first, range.second);
}

void control_machine::impl::fail_overdue(monotonic_time now)
{
    for (auto at = pending.begin(); at != pending.end();)
    {
        if (at->second.due > now)
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

void control_machine::impl::fail_all(const std::string& text)
{
    for (const auto& [index, proposal] : pending)
    {
        out.results.push_back({proposal.id, fail(reason::storage_failed, text,
                                                 verdict::may_have_run)});
    }
    pending.clear();
}

// [applying] -----------------------------------------------------------------

void control_machine::impl::restore(const state::snapshot& snap)
{
    const auto restored = snap.bytes ? state.restore_snapshot(*snap.bytes)
                                     : transport::result<void>{};
    if (!restored)
    {
        defect = restored.error().text;
        return;
    }
    snapshot_index = snap.index;
    bytes_since_snapshot = 0;
    last_snapshot_bytes = snap.bytes ? snap.bytes->size() : 0;
    for (auto at = pending.begin();
         at != pending.end() && at->first <= snap.index;)
    {
        out.results.push_back(
            {at->second.id, fail(reason::no_quorum, "The result was not seen.",
                                 verdict::may_have_run)});
        at = pending.erase(at);
    }
}

void control_machine::impl::apply(state::log_record& record)
{
    const state::record_position position{record.index, record.term};
    bytes_since_snapshot += record.payload.size();
    if (record.kind == state::record_kind::empty)
    {
        state.apply_empty(position);
        return resolve(record, {record.index, state::write_result{}});
    }
    if (record.kind == state::record_kind::replicas)
    {
        const auto set = state::decode_replica_set(record.payload);
        if (!set)
        {
            defect = set.error().text;
            return;
        }
        state.apply(position, *set);
        return resolve(record,
                       {record.index,
                        state::write_result{
                            state::write_status::applied, record.index, {}}});
    }
    auto command = state::decode_command(record.payload);
    if (!command)
    {
        defect = command.error().text;
        return;
    }
    auto result = state.apply(position, *command);
    resolve(record, result);
    out.committed.push_back(
        {record.index, record.term, std::move(*command), std::move(result)});
}

void control_machine::impl::maybe_compact(monotonic_time now, wall_time wall)
{
    const log_index applied = state.applied_index();
    const bool due = applied - snapshot_index >= settings.snapshot_records ||
                     (bytes_since_snapshot >= settings.snapshot_bytes &&
                      applied > snapshot_index);
    if (!due)
    {
        return;
    }
    snapshot_index = applied;
    bytes_since_snapshot = 0;
    compact_event event;
    event.snap = {applied, state.applied_term(), state.tables().replicas,
                  std::make_shared<const std::string>(state.encode_snapshot())};
    last_snapshot_bytes = event.snap.bytes->size();
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

machine_actions control_machine::impl::take(replica_actions actions,
                                            monotonic_time now, wall_time wall)
{
    out = {};
    out.persist = std::move(actions.persist);
    out.sends = std::move(actions.sends);
    out.change = actions.change;
    note_answers(actions.answers, now);
    if (actions.restore && defect.empty())
    {
        restore(*actions.restore);
    }
    for (auto& record : actions.applies)
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
        fail_all(defect);
    }
    else if (core.halted())
    {
        fail_all("The disk of this replica has failed.");
    }
    else
    {
        maybe_compact(now, wall);
    }
    fail_overdue(now);
    return std::exchange(out, {});
}

transport::result<control_machine>
control_machine::make(control_machine_settings settings,
                      state::recovered_state recovered, std::uint64_t seed,
                      monotonic_time now)
{
    const auto snap = recovered.snap;
    auto made =
        std::make_unique<impl>(settings, std::move(recovered), seed, now);
    made->restore(snap);
    if (!made->defect.empty())
    {
        return fail(reason::corrupt, made->defect);
    }
    return control_machine{std::move(made)};
}

control_machine::control_machine(std::unique_ptr<impl> made) noexcept
    : impl_(std::move(made))
{}

control_machine::control_machine(control_machine&&) noexcept = default;
control_machine&
control_machine::operator=(control_machine&&) noexcept = default;
control_machine::~control_machine() = default;

machine_actions control_machine::step(monotonic_time now, wall_time wall,
                                      replica_event event)
{
    return impl_->take(impl_->core.step(now, wall, std::move(event)), now,
                       wall);
}

machine_actions control_machine::propose(monotonic_time now, wall_time wall,
                                         std::uint64_t id,
                                         state::command command)
{
    command.at = impl_->core.quorum_wall(now, wall);
    return step(now, wall, propose_event{id, state::encode(command)});
}

// [reading] ------------------------------------------------------------------

const state::control_state& control_machine::state() const noexcept
{
    return impl_->state;
}

bool control_machine::may_read(monotonic_time now) const
{
    return impl_->core.may_read(now);
}

replica_status control_machine::status(monotonic_time now) const
{
    return impl_->core.status(now);
}

std::vector<follower_status> control_machine::followers() const
{
    return impl_->core.followers();
}

} // namespace hyssopdeal::coordination
