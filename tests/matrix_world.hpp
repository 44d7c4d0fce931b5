#ifndef HYSSOPDEAL_TESTS_MATRIX_WORLD_HPP
#define HYSSOPDEAL_TESTS_MATRIX_WORLD_HPP

/// @file
/// One session of the fault matrix in one thread: virtual time, nodes that
/// die and start again, and messages that meet a fault at a chosen step.
///
/// Index: [matrix_fault] [fault_plan] [matrix_break] [matrix_world]

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::tests
{

// [matrix_fault] -------------------------------------------------------------

/// What happens to the message of a step.
enum class matrix_fault : std::uint8_t
{
    none,
    lose,
    duplicate,     ///< Comes twice, the second time later.
    delay,         ///< Comes after every time limit of its sender.
    reorder,       ///< Comes after those that follow it.
    one_way,       ///< It and all on its way are lost for a while.
    cut_off,       ///< Its receiver reaches nobody for a while.
    crash_before,  ///< The receiver dies before it has taken it.
    crash_after,   ///< The receiver dies once it has taken it.
    crash_sender,  ///< The sender dies once it has sent it.
    restart_empty, ///< The receiver dies and loses all that it has stored.
    pause          ///< The receiver stops for long and goes on.
};

/// All faults of a table's rows.
inline constexpr matrix_fault all_faults[] = {
    matrix_fault::lose,         matrix_fault::duplicate,
    matrix_fault::delay,        matrix_fault::reorder,
    matrix_fault::one_way,      matrix_fault::cut_off,
    matrix_fault::crash_before, matrix_fault::crash_after,
    matrix_fault::crash_sender, matrix_fault::restart_empty,
    matrix_fault::pause};

/// @return The fault's name on the command line and in tables.
[[nodiscard]] std::string_view to_string(matrix_fault value) noexcept;

// [fault_plan] ---------------------------------------------------------------

/// A fault at a step; steps are the session's messages, counted from 1.
struct planned_fault
{
    std::uint64_t step = 0; ///< 0: never.
    matrix_fault fault = matrix_fault::none;
};

/// What one cell of the table does.
struct fault_plan
{
    std::uint64_t seed = 1;
    planned_fault first;
    planned_fault second;
};

// [matrix_break] -------------------------------------------------------------

/// A deliberate break of the session's rules, to see that the checks find it.
enum class matrix_break : std::uint8_t
{
    none,
    skip_sync,               ///< Disks acknowledge without a sync.
    forget_vote,             ///< Term and vote are not written.
    early_persist,           ///< A batch is acknowledged before it is written.
    answer_before_commit,    ///< An order is answered when it is proposed.
    new_order_id,            ///< A resent order gets another id.
    apply_lower_index,       ///< An entry takes an older state.
    dispatch_before_claim,   ///< A call goes out while its claim is written.
    release_after_send,      ///< A lost call's claim is given back.
    dispatch_late,           ///< A dispatcher that slept sends all the same.
    accept_old_attempt,      ///< An older attempt's event counts.
    send_before_copy,        ///< Events leave before they are copied.
    other_version,           ///< A stream goes on with another version.
    end_without_mark,        ///< A closed connection counts as the end.
    keep_old_owner,          ///< A holder takes copies of an older epoch.
    drain_without_hand_over, ///< A leaving entry ends with open streams.
    revive_leaving,          ///< A late list entry brings a server back.
    keep_bad_version         ///< Evidence against a version is dropped.
};

/// @return The break's name on the command line and in tables.
[[nodiscard]] std::string_view to_string(matrix_break value) noexcept;

// [matrix_world] -------------------------------------------------------------

/// What a node loses when it dies.
enum class node_memory : std::uint8_t
{
    kept_on_disk, ///< restart_empty loses its disk as well.
    none          ///< Starts empty each time.
};

/// How a node ended its life.
enum class node_end : std::uint8_t
{
    crashed,
    crashed_and_lost_disk
};

/// Time, nodes, messages and the trace of one run.
class matrix_world
{
public:
    using node_id = std::size_t;

    /// What a session tells of one of its nodes.
    struct node_hooks
    {
        std::function<void(node_end)> on_crash; ///< Drop what was in memory.
        std::function<void()> on_start;         ///< Start again.
    };

    explicit matrix_world(fault_plan plan, matrix_break broken);

    /// Adds a node that runs.
    ///
    /// @param domain Its failure domain.
    node_id add_node(std::string name, std::string domain, node_hooks hooks);

    /// Runs something later on a node, unless the node dies before.
    void after(node_id node, std::chrono::nanoseconds delay,
               std::function<void()> run);

    /// Runs something later, whatever happens to nodes.
    void after(std::chrono::nanoseconds delay, std::function<void()> run);

    /// Sends a message; each call is the next step.
    void send(node_id from, node_id to, std::string label,
              std::function<void()> deliver);

    /// Tells a node when another one has died, as a broken connection does.
    void watch(node_id watcher, node_id watched, std::function<void()> run);

    /// Kills a node; it starts again after a while.
    void crash(node_id node, node_end how);

    /// Kills a node for good.
    void stop(node_id node);

    /// Runs for a virtual time.
    void run_for(std::chrono::nanoseconds duration);

    /// Runs until a condition holds and for a while longer.
    ///
    /// @param limit Gives up after this virtual time.
    void run_until(const std::function<bool()>& done,
                   std::chrono::nanoseconds limit,
                   std::chrono::nanoseconds longer);

    /// Adds a line to the trace.
    void note(std::string text);

    /// Notes a broken promise.
    void violation(std::string text);

    /// @return Whether a node runs.
    [[nodiscard]] bool is_up(node_id node) const;

    /// @return How often a node has died.
    [[nodiscard]] std::uint64_t lives(node_id node) const;

    /// @return Whether the rules are broken in this way.
    [[nodiscard]] bool breaks(matrix_break which) const noexcept
    {
        return broken_ == which;
    }

    [[nodiscard]] const transport::manual_clock& clock() const noexcept
    {
        return clock_;
    }

    [[nodiscard]] transport::monotonic_time now() const noexcept
    {
        return clock_.monotonic_now();
    }

    [[nodiscard]] std::uint64_t steps() const noexcept
    {
        return steps_;
    }

    [[nodiscard]] std::uint64_t crashes() const noexcept
    {
        return crashes_;
    }

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept
    {
        return violations_;
    }

    [[nodiscard]] const std::vector<std::string>& trace() const noexcept
    {
        return trace_;
    }

    std::mt19937_64 random; ///< For everything drawn in the session.

private:
    struct node
    {
        std::string name;
        std::string domain;
        node_hooks hooks;
        bool up = true;
        bool stopped = false;
        std::uint64_t life = 0;
        transport::monotonic_time paused_until{};
        transport::monotonic_time cut_until{};
    };

    struct queued
    {
        transport::monotonic_time at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const queued& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct watcher
    {
        node_id by = 0;
        std::uint64_t by_life = 0;
        node_id of = 0;
        std::uint64_t of_life = 0;
        std::function<void()> run;
    };

    struct blocked_way
    {
        node_id from = 0;
        node_id to = 0;
        transport::monotonic_time until;
    };

    [[nodiscard]] matrix_fault fault_at(std::uint64_t step) const;
    void deliver(node_id from, node_id to, std::chrono::nanoseconds delay,
                 std::function<void()> run);
    void apply(matrix_fault fault, node_id from, node_id to,
               std::function<void()> run);
    [[nodiscard]] bool is_cut(node_id from, node_id to) const;
    void on_node(node_id id, std::uint64_t life, std::function<void()> run);

    fault_plan plan_;
    matrix_break broken_;
    transport::manual_clock clock_;
    transport::monotonic_time start_;
    std::vector<node> nodes_;
    std::priority_queue<queued> queue_;
    std::uint64_t order_ = 0;
    std::uint64_t steps_ = 0;
    std::uint64_t crashes_ = 0;
    std::vector<watcher> watchers_;
    std::vector<blocked_way> blocked_;
    std::vector<std::string> violations_;
    std::vector<std::string> trace_;
};

} // namespace hyssopdeal::tests

#endif
