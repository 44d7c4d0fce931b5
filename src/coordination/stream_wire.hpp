#ifndef HYSSOPDEAL_SRC_COORDINATION_STREAM_WIRE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_STREAM_WIRE_HPP

/// @file
/// Internal: messages of the channel `streams` as bytes.
///
/// Index: [stream_question] [stream_answer]

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <hyssopdeal/coordination/stream_copies.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [stream_question] ----------------------------------------------------------

/// What is asked; the value is on the wire and never reused.
enum class stream_question_kind : std::uint8_t
{
    copy = 1,      ///< Hold this origin and these events.
    find = 2,      ///< Which epoch and how many events are there?
    take_over = 3, ///< Give the stream to the asker.
    close = 4      ///< The stream is delivered.
};

/// A question of one entry instance to another.
struct stream_question
{
    stream_question_kind kind = stream_question_kind::find;
    std::string stream;
    std::string organisation; ///< Of the caller, for take_over.
    std::string asker;        ///< Name of the asking instance.
    owner_epoch epoch = 0;
    std::optional<stream_copy> copy; ///< For copy.
    std::uint64_t up_to = 0; ///< For copy: the owner's last event so far.
};

[[nodiscard]] std::string encode(const stream_question& question);
[[nodiscard]] transport::result<stream_question>
decode_stream_question(std::string_view bytes);

// [stream_answer] ------------------------------------------------------------

/// What was found or done.
struct stream_answer
{
    copy_answer done;                ///< For copy and find.
    std::optional<stream_copy> copy; ///< For take_over.
};

[[nodiscard]] std::string
encode(const transport::result<stream_answer>& answer);

/// @return The answer, or the refusal of the other instance.
[[nodiscard]] transport::result<stream_answer>
decode_stream_answer(std::string_view bytes);

} // namespace hyssopdeal::coordination

#endif
