#ifndef HYSSOPDEAL_TESTS_MATRIX_CONTROL_WORLD_HPP
#define HYSSOPDEAL_TESTS_MATRIX_CONTROL_WORLD_HPP

/// @file
/// Control replicas with their disks in a world of the fault matrix.
///
/// Index: [matrix_files] [sim_replica] [control_world]

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/control_machine.hpp>
#include <hyssopdeal/coordination/learner.hpp>
#include <hyssopdeal/state/log_storage.hpp>

#include "faulty_files.hpp"
#include "matrix_world.hpp"

namespace hyssopdeal::tests::matrix
{

// [matrix_files] -------------------------------------------------------------

/// Whether syncs are carried out.
enum class sync_rule : std::uint8_t
{
    kept,
    skipped
};

/// Files whose syncs may be skipped, to see that the checks find it.
class matrix_files
{
public:
    matrix_files(std::shared_ptr<faulty_disk> disk, sync_rule rule)
        : files_(std::move(disk)),
          rule_(rule)
    {}

    auto list()
    {
        return files_.list();
    }

    auto read(std::string_view name)
    {
        return files_.read(name);
    }

    auto create(std::string_view name, std::string_view bytes)
    {
        return files_.create(name, bytes);
    }

    auto append(std::string_view name, std::string_view bytes)
    {
        return files_.append(name, bytes);
    }

    auto truncate(std::string_view name, std::uint64_t size)
    {
        return files_.truncate(name, size);
    }

    auto sync(std::string_view name)
    {
        return rule_ == sync_rule::skipped ? transport::result<void>{}
                                           : files_.sync(name);
    }

    auto rename(std::string_view from, std::string_view to)
    {
        return files_.rename(from, to);
    }

    auto remove(std::string_view name)
    {
        return files_.remove(name);
    }

    auto sync_folder()
    {
        return rule_ == sync_rule::skipped ? transport::result<void>{}
                                           : files_.sync_folder();
    }

private:
    faulty_files files_;
    sync_rule rule_;
};

// [sim_replica] --------------------------------------------------------------

/// One replica's process and disk.
struct sim_replica
{
    using storage_type = state::log_storage<matrix_files>;
    using callback =
        std::function<void(transport::result<state::command_result>)>;

    std::uint64_t id = 0;
    std::size_t node = 0;
    std::shared_ptr<faulty_disk> disk;
    std::optional<storage_type> storage;
    std::optional<coordination::control_machine> machine;
    std::optional<coordination::declaration_source> source;
    std::map<std::uint64_t, callback> waiting; ///< By proposal.
    bool lost_disk = false;                    ///< Never starts again.
};

// [control_world] ------------------------------------------------------------

/// The replicas, and the checks that hold for every one of their runs.
class control_world
{
public:
    /// Starts the first replicas, ids from 1.
    control_world(matrix_world& world, std::size_t count);

    /// Starts a replica that joins later.
    ///
    /// @return Its place in replicas().
    std::size_t add_replica(std::uint64_t id);

    /// Proposes at a replica; a dead one never answers.
    void propose(std::size_t replica, state::command command,
                 sim_replica::callback on_result);

    /// Changes the replica set at a replica.
    void change(std::size_t replica, coordination::replica_change change,
                std::uint64_t id, sim_replica::callback on_result);

    /// @return A replica that may serve reads; nothing when there is none.
    [[nodiscard]] const coordination::control_machine* leader() const;

    /// @return The replica that may serve reads, or how many there are.
    [[nodiscard]] std::size_t leader_place() const;

    /// @return Whether a majority of the voters still has its disk.
    [[nodiscard]] bool can_agree() const;

    [[nodiscard]] std::vector<sim_replica>& replicas() noexcept
    {
        return replicas_;
    }

    /// Called with each follow_push of a replica.
    std::function<void(std::size_t replica, coordination::follow_push push)>
        on_push;

private:
    std::size_t add_process(std::uint64_t id,
                            const state::persist_request& first);
    void start(std::size_t at);
    void stop(std::size_t at, node_end how);
    void tick(std::size_t at);
    void take(std::size_t at, coordination::machine_actions actions);
    void persist(std::size_t at, const state::persist_request& request);
    void write(std::size_t at, const state::persist_request& request);
    void note_committed(const coordination::committed_command& item);

    [[nodiscard]] transport::wall_time wall() const;

    matrix_world& world_;
    coordination::control_machine_settings settings_;
    std::vector<sim_replica> replicas_;
    std::map<state::log_index, std::string> committed_;
    std::uint64_t proposals_ = 0;
    state::replica_set first_;
};

} // namespace hyssopdeal::tests::matrix

#endif
