#ifndef HYSSOPDEAL_STANDINS_ENGINE_ATTEMPT_HPP
#define HYSSOPDEAL_STANDINS_ENGINE_ATTEMPT_HPP

/// @file
/// One generation on an engine stand-in: its events, who reads them, and the
/// order in which they are sent, with the set faults.
///
/// Index: [attempt_request] [engine_attempt]

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/http_server.hpp>

#include "answer_text.hpp"
#include "behaviour.hpp"

namespace hyssopdeal::standins
{

// [attempt_request] ----------------------------------------------------------

/// What an attempt starts from.
struct attempt_request
{
    std::string id;                  ///< 32 hex digits, or made by the engine.
    std::string version;             ///< Version that answers.
    std::uint32_t priority = 1;      ///< Lower goes first.
    chat_prompt prompt;              ///< What to answer.
    std::uint64_t prompt_tokens = 0; ///< With the text to go on from.
    std::uint64_t cached_tokens = 0; ///< Found in the cache.
    version_fault fault = version_fault::none; ///< Shown by this attempt.
};

// [engine_attempt] -----------------------------------------------------------

/// Whether an attempt has more to do.
enum class attempt_state : std::uint8_t
{
    running,
    finished
};

/// Generates one token a step and sends its events to whoever reads.
class engine_attempt
{
public:
    engine_attempt(attempt_request request, engine_behaviour behaviour);
    engine_attempt(const engine_attempt&) = delete;
    engine_attempt& operator=(const engine_attempt&) = delete;
    ~engine_attempt();

    /// Attaches a reader and sends it the events from a number on. A former
    /// reader is cut off.
    ///
    /// @param from First event wanted, counted from 1.
    void attach(transport::http_responder reader, std::uint64_t from);

    /// Generates the next token, or ends.
    attempt_state step();

    /// Cuts the reader off and ends.
    void cancel();

    /// @return Whether somebody reads.
    [[nodiscard]] bool has_reader() const noexcept;

    /// @return What it started from.
    [[nodiscard]] const attempt_request& request() const noexcept;

    /// @return Tokens generated here.
    [[nodiscard]] std::uint64_t generated() const noexcept;

    /// @return Prompt and all text of the answer so far.
    [[nodiscard]] std::string whole_text() const;

    /// When its prompt is done; set by the engine when it starts to run.
    transport::monotonic_time prefilled_at{};

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hyssopdeal::standins

#endif
