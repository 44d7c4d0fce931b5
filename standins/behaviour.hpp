#ifndef HYSSOPDEAL_STANDINS_BEHAVIOUR_HPP
#define HYSSOPDEAL_STANDINS_BEHAVIOUR_HPP

/// @file
/// How a stand-in misbehaves; tests and `/behaviour` of the programs set it.
///
/// Index: [version_fault] [engine_behaviour] [plain_behaviour] [json]

#include <chrono>
#include <cstdint>
#include <string>

#include <hyssopdeal/protocol/settings_reader.hpp>

namespace hyssopdeal::standins
{

// [version_fault] ------------------------------------------------------------

/// What is wrong with a version.
enum class version_fault : std::uint8_t
{
    none,
    fails,   ///< Answers 500.
    slow,    ///< Takes `slow_factor` times as long.
    broken,  ///< Cuts the stream without an end mark.
    empty,   ///< Ends without a token.
    stalls,  ///< Stops sending in the middle and keeps the connection.
    garbled, ///< Sends an event that is not JSON.
    refuses  ///< Refuses before running, in the documented way.
};

/// @return The fault's name as written in settings.
[[nodiscard]] const char* to_string(version_fault value) noexcept;

// [engine_behaviour] ---------------------------------------------------------

/// Speed and faults of an engine stand-in. A fault shows only where all its
/// conditions hold; events are numbered from 1 in each attempt, and 0 turns
/// an `every` off.
struct engine_behaviour
{
    version_fault fault = version_fault::none;
    std::string fault_on_version;           ///< Only this version; empty: all.
    std::uint64_t fault_after_requests = 0; ///< Shows from this request on.
    std::uint32_t fault_above_running = 0;  ///< Shows only above this load.
    std::string fault_on_path;         ///< Path or route that has this in it.
    std::string fault_on_text;         ///< Prompt that has this in it.
    std::uint32_t fault_every = 1;     ///< One request in so many.
    double slow_factor = 4;            ///< For version_fault::slow.
    std::uint32_t duplicate_every = 0; ///< Event sent twice.
    std::uint32_t swap_every = 0;      ///< Event sent after its successor.
    std::uint32_t skip_every = 0;      ///< Event not sent.
    std::uint32_t foreign_every = 0;   ///< Another attempt's event inserted.
    std::chrono::microseconds token_interval{2'000};  ///< Between tokens.
    std::chrono::microseconds prefill_per_token{20};  ///< Uncached prompt.
    std::chrono::milliseconds load_report_lag{500};   ///< Age of /v1/load.
    std::chrono::milliseconds cache_event_lag{1'000}; ///< Age of cache events.
    std::uint32_t cache_event_gap_every = 7;   ///< Number that is left out.
    std::chrono::milliseconds load_time{200};  ///< For the order `load`.
    std::uint64_t kv_bytes_per_ms = 1'000'000; ///< Speed of KV imports.
};

// [plain_behaviour] ----------------------------------------------------------

/// Speed and faults of a plain service stand-in.
struct plain_behaviour
{
    version_fault fault = version_fault::none;
    std::string fault_on_path;              ///< Path that has this in it.
    std::uint32_t fault_every = 1;          ///< One request in so many.
    std::chrono::milliseconds work_time{1}; ///< Of each call.
};

// [json] ---------------------------------------------------------------------

/// Binds the members under their own names, durations with their unit.
void describe(protocol::settings_fields& fields, engine_behaviour& value);
void describe(protocol::settings_fields& fields, plain_behaviour& value);

} // namespace hyssopdeal::standins

#endif
