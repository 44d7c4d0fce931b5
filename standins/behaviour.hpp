#ifndef HYSSOPDEAL_STANDINS_BEHAVIOUR_HPP
#define HYSSOPDEAL_STANDINS_BEHAVIOUR_HPP

/// @file
/// How a stand-in misbehaves; tests and `/behaviour` of the programs set it.
///
/// Index: [version_fault] [engine_behaviour]

#include <chrono>
#include <cstdint>
#include <string>

namespace hyssopdeal::standins
{

// [version_fault] ------------------------------------------------------------

/// What is wrong with a version.
enum class version_fault : std::uint8_t
{
    none,
    fails,  ///< Answers 500.
    slow,   ///< Takes `slow_factor` times as long.
    broken, ///< Cuts the stream without an end mark.
    empty   ///< Ends without a token.
};

/// @return The fault's name as written in settings.
[[nodiscard]] const char* to_string(version_fault value) noexcept;

// [engine_behaviour] ---------------------------------------------------------

/// Speed and faults of an engine stand-in.
struct engine_behaviour
{
    version_fault fault = version_fault::none;
    std::uint64_t fault_after_requests = 0; ///< Shows from this request on.
    std::uint32_t fault_above_running = 0;  ///< Shows only above this load.
    std::string fault_on_path;              ///< Shows only there; empty: all.
    double slow_factor = 4;                 ///< For version_fault::slow.
    std::chrono::microseconds token_interval{2'000}; ///< Between tokens.
    std::chrono::microseconds prefill_per_token{20}; ///< Uncached prompt.
    std::chrono::milliseconds load_report_lag{500};  ///< Age of /v1/load.
};

} // namespace hyssopdeal::standins

#endif
