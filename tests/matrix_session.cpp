#include "matrix_session.hpp"

#include <algorithm>

namespace hyssopdeal::tests
{

const std::vector<session_kind>& all_sessions()
{
    static const std::vector<session_kind> sessions = {
        {"stream", "The caller gets the whole answer, of one version.",
         play_stream},
        {"reclaim", "A stream survives the reclaim of its engine.",
         play_reclaim},
        {"drain", "A leaving entry cuts no stream off.", play_drain},
        {"contract-change",
         "Of two equal revisions one wins; an accepted contract is in force "
         "everywhere and never goes back.",
         play_contract_change},
        {"at-most-once", "A call runs once at most; not_run is true.",
         play_at_most_once},
        {"replica-replacement",
         "A lost voter is replaced; a second loss right after the repair loses "
         "nothing.",
         play_replica_replacement},
        {"leaving", "A leaving server gets no new work, and never again.",
         play_leaving},
    };
    return sessions;
}

const session_kind* find_session(std::string_view name)
{
    const auto& sessions = all_sessions();
    const auto found = std::find_if(
        sessions.begin(), sessions.end(),
        [name](const session_kind& session) { return session.name == name; });
    return found == sessions.end() ? nullptr : &*found;
}

session_result run_cell(const session_kind& session, const fault_plan& plan,
                        matrix_break broken)
{
    matrix_world world(plan, broken);
    session.play(world);
    return {world.steps(), world.crashes(), world.violations(), world.trace()};
}

} // namespace hyssopdeal::tests
