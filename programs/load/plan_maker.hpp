#ifndef HYSSOPDEAL_PROGRAMS_LOAD_PLAN_MAKER_HPP
#define HYSSOPDEAL_PROGRAMS_LOAD_PLAN_MAKER_HPP

/// @file
/// Draws the calls of a scenario; the same seed gives the same calls.
///
/// Index: [planned_call] [plan_maker]

#include <cstdint>
#include <random>

#include "load/call.hpp"
#include "load/scenario.hpp"

namespace hyssopdeal::load
{

// [planned_call] -------------------------------------------------------------

/// One call and when it arrives.
struct planned_call
{
    std::size_t class_index = 0;
    std::chrono::nanoseconds arrives{}; ///< Since the start of the run.
    call_plan plan;
};

// [plan_maker] ---------------------------------------------------------------

/// Makes one call after the other.
class plan_maker
{
public:
    explicit plan_maker(const scenario& plan);

    /// @return The next call; its time may lie after the scenario's end.
    [[nodiscard]] planned_call next();

private:
    [[nodiscard]] std::string prompt(const call_class& entry);
    [[nodiscard]] std::string words(std::uint32_t tokens, std::uint64_t seed);
    [[nodiscard]] bool chance(double share);
    void fill(planned_call& call, const call_class& entry);

    const scenario& plan_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> classes_;
    std::chrono::nanoseconds now_{};
    std::uint64_t made_ = 0;
};

} // namespace hyssopdeal::load

#endif
