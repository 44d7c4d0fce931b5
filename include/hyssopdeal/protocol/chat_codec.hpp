#ifndef HYSSOPDEAL_PROTOCOL_CHAT_CODEC_HPP
#define HYSSOPDEAL_PROTOCOL_CHAT_CODEC_HPP

/// @file
/// OpenAI-style chat completions: what hyssopdeal reads of requests and of the
/// events of a streamed answer.
///
/// Index: [chat_request] [continuation] [chat_event]

#include <cstdint>
#include <string>
#include <string_view>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [chat_request] -------------------------------------------------------------

/// Whether the caller wants the answer in pieces.
enum class answer_mode : std::uint8_t
{
    whole,
    streamed
};

/// The parts of a request that decisions depend on.
struct chat_request
{
    answer_mode mode = answer_mode::whole;
    std::string prompt;           ///< As engines cache it, see read_chat().
    std::uint32_t max_tokens = 0; ///< 0: no limit asked.
};

/// Reads a request's body. The prompt is `ROLE:CONTENT` and a line end for
/// each message in order, then `assistant:`.
///
/// @return bad_request when it is no chat completions request.
[[nodiscard]] transport::result<chat_request> read_chat(std::string_view body);

// [continuation] -------------------------------------------------------------

/// How far the answer has come that another server shall go on with.
struct chat_progress
{
    std::string_view text;    ///< What the caller has.
    std::uint32_t tokens = 0; ///< Of it.
};

/// Writes the body that goes on from a text.
///
/// @param body The original request.
/// @return The new body, or bad_request when the original cannot be read.
[[nodiscard]] transport::result<std::string>
continue_chat(std::string_view body, const chat_progress& progress);

// [chat_event] ---------------------------------------------------------------

/// What an event of a streamed answer is.
enum class chat_event_kind : std::uint8_t
{
    text,
    finish, ///< Has a finish reason.
    done    ///< The end mark.
};

/// The parts of an event that decisions depend on.
struct chat_event
{
    chat_event_kind kind = chat_event_kind::text;
    std::string text;                    ///< Content that it adds.
    std::uint32_t prompt_tokens = 0;     ///< Of its usage, if it has one.
    std::uint32_t cached_tokens = 0;     ///< Of the prompt, from a cache.
    std::uint32_t completion_tokens = 0; ///< Generated.
};

/// @return Whether the `data:` of an event is the end mark.
[[nodiscard]] bool is_end_mark(std::string_view data) noexcept;

/// Reads the `data:` of an event.
///
/// @return broken_answer when it is neither the end mark nor a chat chunk.
[[nodiscard]] transport::result<chat_event>
read_chat_event(std::string_view data);

} // namespace hyssopdeal::protocol

#endif
