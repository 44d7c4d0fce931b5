#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_CAPACITY_PLANNER_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_CAPACITY_PLANNER_HPP

/// @file
/// How many servers of which kind to order in which failure domain. Answers
/// load that grows and shrinks over a day, and reclaims of all reclaimable
/// servers of a domain while none can be had elsewhere. A decision module
/// without I/O.
///
/// Index: [settings] [orders] [capacity_planner]
///
/// Reclaimable servers carry the load, spread evenly, so that the loss of one
/// domain leaves most of them. Usual ones are kept until reclaimable ones have
/// started, and ordered only when too few reclaimable ones are to be had.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct capacity_settings
{
    std::uint32_t least_in_domain = 3; ///< One may fail or be slow.
    double running_on_server = 6;  ///< Requests at once that leave long prompts
                                   ///< room beside short ones.
    double crowded_on_server = 10; ///< Above it usual servers are ordered too,
                                   ///< when no others are to be had.
    /// Most that is made up for by usual servers, of what ran before none
    /// were to be had: requests pile up behind too few servers, so the load
    /// then seems larger than it is.
    double usual_part = 0.45;
    /// The same where the load before needed more even of crowded servers.
    double most_usual_part = 0.7;
    std::chrono::milliseconds load_memory{2'000}; ///< Load is smoothed by it;
                                                  ///< a pile-up behind servers
                                                  ///< that failed is no load.
    /// Then a peak is over. For as long after the first load, what ran at the
    /// start is kept: the load of the time before is not known.
    std::chrono::milliseconds peak_memory{20'000};
    /// After its start time, what was ordered and has not come is given up.
    std::chrono::milliseconds start_margin{3'000};
    std::chrono::milliseconds refused_pause{2'000}; ///< After "none to be had".
    std::chrono::milliseconds failed_pause{1'000};
    std::chrono::milliseconds repeat_interval{10'000}; ///< Of orders that have
                                                       ///< not been met.
};

// [orders] -------------------------------------------------------------------

enum class server_kind : std::uint8_t
{
    usual,
    reclaimable
};

/// So many servers are to run there, from now on.
struct capacity_order
{
    std::string service;
    std::string domain;
    server_kind kind = server_kind::usual;
    std::uint32_t count = 0;
};

/// How the platform took an order.
enum class order_outcome : std::uint8_t
{
    accepted,
    none_available,
    failed
};

// [capacity_planner] ---------------------------------------------------------

/// Runs on every replica: those that do not lead only watch, so that the next
/// leader knows what the load needed before servers were lost.
class capacity_planner
{
public:
    explicit capacity_planner(capacity_settings settings);

    /// @param servers The instance list.
    /// @param running Requests at all servers of a service, by service.
    /// @return Orders to send now; each must be answered by on_answer().
    [[nodiscard]] std::vector<capacity_order>
    step(transport::monotonic_time now,
         const std::vector<protocol::document_service>& services,
         const std::vector<protocol::listed_server>& servers,
         const std::map<std::string, double>& running);

    void on_answer(transport::monotonic_time now, const capacity_order& order,
                   order_outcome outcome);

    /// Looks on without ordering; forgets orders of the time as the leader.
    void watch(transport::monotonic_time now,
               const std::vector<protocol::document_service>& services,
               const std::vector<protocol::listed_server>& servers,
               const std::map<std::string, double>& running);

private:
    /// What was ordered of one kind in one domain.
    struct order_state
    {
        bool asked = false;   ///< An order is under way.
        bool ordered = false; ///< `count` was accepted.
        std::uint32_t count = 0;
        transport::monotonic_time sent{};
        transport::monotonic_time raised{}; ///< `count` last grew. What was
                                            ///< reclaimed since does not come
                                            ///< again by itself.
        transport::monotonic_time not_before{};
        bool refused = false; ///< The latest answer was "none to be had".
    };

    /// Servers of one service in one domain that take work.
    struct domain_count
    {
        std::uint32_t usual = 0;
        std::uint32_t reclaimable = 0;
    };

    using domain_counts = std::map<std::string, domain_count>;

    void plan(transport::monotonic_time now,
              const protocol::document_service& service,
              const domain_counts& ready, double running,
              std::vector<capacity_order>& orders);
    [[nodiscard]] std::uint32_t kept_from_start(transport::monotonic_time now,
                                                const std::string& service,
                                                const domain_counts& ready);
    [[nodiscard]] double load_of(transport::monotonic_time now,
                                 const std::string& service, double running);
    [[nodiscard]] std::uint32_t
    starting(transport::monotonic_time now, const order_state& state,
             std::uint32_t ready, std::chrono::milliseconds start_time) const;
    void want(transport::monotonic_time now, capacity_order order,
              std::uint32_t ready, std::vector<capacity_order>& orders);
    order_state& state_of(const capacity_order& order);

    /// Load of a service, smoothed, and its highest value of late.
    struct load_peak
    {
        double smoothed = 0;
        transport::monotonic_time measured{};
        double running = 0;
        transport::monotonic_time at{};
        std::uint32_t at_start = 0; ///< Servers of either kind.
        std::uint32_t planned = 0;  ///< Of the latest plan that was met.
        double met = 0;             ///< Mean load while plans were met.
        std::uint32_t met_steps = 0;
        transport::monotonic_time loaded_since{};
    };

    capacity_settings settings_;
    std::map<std::string, order_state> states_; ///< By service, domain, kind.
    std::map<std::string, load_peak> peaks_;
};

} // namespace hyssopdeal::coordination

#endif
