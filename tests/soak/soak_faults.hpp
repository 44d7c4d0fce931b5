#ifndef HYSSOPDEAL_TESTS_SOAK_SOAK_FAULTS_HPP
#define HYSSOPDEAL_TESTS_SOAK_SOAK_FAULTS_HPP

/// @file
/// Faults and planned work, drawn from the seed, in series and overlapping, as
/// far as the system is to bear them: one control replica at a time, all of
/// them only when their disks stay.
///
/// Index: [soak_faults]

#include <chrono>
#include <functional>
#include <list>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "soak/soak_callers.hpp"
#include "soak/soak_world.hpp"

namespace hyssopdeal::soak
{

// [soak_faults] --------------------------------------------------------------

class soak_faults
{
public:
    soak_faults(soak_world& world, soak_operator& changes);

    /// Draws faults until the time is over.
    void start(std::chrono::seconds duration);

    /// @return Whether all faults are over and every process runs.
    [[nodiscard]] bool over() const noexcept;

private:
    void next();
    void disturb();
    std::optional<std::size_t> any_server();
    void plan();
    void after(std::chrono::milliseconds delay, std::function<void()> act);
    std::chrono::milliseconds drawn_between(int least_ms, int most_ms);
    std::size_t begin(fault_place place, std::size_t which, bool planned,
                      const std::string& what);
    void end(fault_place place, std::size_t which, std::size_t record,
             std::chrono::milliseconds later);

    void end_after(std::chrono::milliseconds time, fault_place place,
                   std::size_t which, std::size_t record,
                   std::function<void()> undo);

    // Of processes.
    void restart(fault_place place, std::size_t which, int number,
                 disk_state disk);
    void await_end(fault_place place, std::size_t which, std::size_t record,
                   disk_state disk);
    void freeze(fault_place place, std::size_t which);
    void kill_all_replicas();
    void replace_replica(std::size_t which);
    void roll_entries(std::size_t which);
    void change_settings(std::size_t which);

    // Of links.
    void harm_link(fault_place place, std::size_t which);
    void break_connections(fault_place place, std::size_t which);

    // Of servers and the platform.
    void harm_server(std::size_t server);
    void add_successor(std::size_t server);
    void crash_server(std::size_t server, connection_end how);
    void end_server(std::size_t server, std::chrono::milliseconds lives_on,
                    address_answer answer);
    void replace_later(std::size_t server, std::size_t record);
    void replace_server(std::size_t server);
    void harm_platform();
    void move_version();
    void limit_rates();
    void repeat_refusals();
    void end_servers();
    void make_brittle();
    void draw_evacuation();
    void hold_evacuation(const std::string& domain,
                         std::chrono::milliseconds time, bool cold);

    bool free(fault_place place, std::size_t which) const;

    soak_world& world_;
    soak_operator& changes_;
    transport::monotonic_time until_{};
    bool drawing_ = false;
    std::set<std::pair<fault_place, std::size_t>> busy_;
    std::size_t open_ = 0;
    std::size_t moves_ = 0;
    bool rolling_ = false;
    std::string version_ = "v1"; ///< That new servers of `llm` have.
    /// Apart from the world's, so that the other faults of a seed stay as they
    /// were.
    std::mt19937_64 rates_random_;
    std::mt19937_64 refusals_random_;
    std::mt19937_64 ends_random_;
    std::mt19937_64 brittle_random_;
    std::mt19937_64 evacuations_random_;
    /// Failure domains, also those withdrawn shortly before.
    std::set<std::string> evacuated_;
    std::size_t evacuations_ = 0; ///< Not withdrawn yet.
    std::list<transport::timer_handle> timers_;
};

} // namespace hyssopdeal::soak

#endif
