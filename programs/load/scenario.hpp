#ifndef HYSSOPDEAL_PROGRAMS_LOAD_SCENARIO_HPP
#define HYSSOPDEAL_PROGRAMS_LOAD_SCENARIO_HPP

/// @file
/// What hyssop-load sends: rates over time, classes of calls, their sizes and
/// how their callers behave.
///
/// Index: [size_distribution] [call_class] [rate_step] [scenario]

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/settings_reader.hpp>

namespace hyssopdeal::load
{

// [size_distribution] --------------------------------------------------------

/// Log-normal sizes: half lie below the median, few are very large.
struct size_distribution
{
    double median = 64;         ///< Tokens.
    double sigma = 0.8;         ///< Of the logarithm; 0: always the median.
    std::uint32_t most = 4'096; ///< Larger ones are cut to it.

    /// @return One size, at least 1.
    template <class Engine>
    [[nodiscard]] std::uint32_t draw(Engine& engine) const
    {
        std::lognormal_distribution<double> sizes(std::log(median), sigma);
        const double size = sigma == 0 ? median : sizes(engine);
        return static_cast<std::uint32_t>(
            std::clamp(size, 1.0, static_cast<double>(most)));
    }
};

// [call_class] ---------------------------------------------------------------

/// What a call asks for.
enum class call_kind : std::uint8_t
{
    stream,  ///< Streamed chat completion.
    answer,  ///< Chat completion in one piece.
    lookup,  ///< GET of a plain service.
    purchase ///< POST with an idempotency key.
};

/// Calls of one sort.
struct call_class
{
    std::string name; ///< In results.
    call_kind kind = call_kind::stream;
    std::string path;                       ///< `/v1/{service}/...`.
    double weight = 1;                      ///< Share of all calls.
    std::vector<std::string> keys;          ///< Callers' keys, taken in turn.
    size_distribution prompt_tokens;        ///< Of the prompt's own part.
    size_distribution answer_tokens;        ///< Of the whole answer.
    std::uint32_t shared_prefixes = 0;      ///< Prompts start with one of so
                                            ///< many texts; 0: none.
    std::uint32_t shared_prefix_tokens = 0; ///< Length of those texts.
    double reconnect_share = 0; ///< Callers that leave in the middle and
                                ///< come back on another entry.
    double slow_share = 0;      ///< Callers that read slowly.
    std::uint32_t slow_bytes_per_second = 2'000; ///< How slowly.
    double repeat_share = 0;               ///< Purchases sent a second time.
    std::chrono::milliseconds deadline{0}; ///< Sent with the call; 0: none.
};

// [rate_step] ----------------------------------------------------------------

/// From a time on, the rate is multiplied.
struct rate_step
{
    std::chrono::milliseconds at{0};
    double factor = 1;
};

// [scenario] -----------------------------------------------------------------

/// One experiment.
struct scenario
{
    std::string name = "scenario";
    std::uint64_t seed = 1;                     ///< For every random choice.
    double rate_per_second = 20;                ///< Arrivals, all classes.
    std::chrono::milliseconds duration{10'000}; ///< Of the arrivals.
    std::chrono::milliseconds drain{30'000};    ///< Afterwards, for the rest.
    std::uint32_t max_reconnects = 20;          ///< Of one stream.
    std::vector<rate_step> steps;               ///< By time.
    std::vector<call_class> classes;            ///< At least one.

    /// @return The arrival rate at a time since the start.
    [[nodiscard]] double rate_at(std::chrono::nanoseconds since) const;
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, size_distribution& value);
void describe(protocol::settings_fields& fields, call_class& value);
void describe(protocol::settings_fields& fields, rate_step& value);
void describe(protocol::settings_fields& fields, scenario& value);

} // namespace hyssopdeal::load

#endif
