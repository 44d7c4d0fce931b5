#ifndef HYSSOPDEAL_STANDINS_ANSWER_TEXT_HPP
#define HYSSOPDEAL_STANDINS_ANSWER_TEXT_HPP

/// @file
/// The text that an engine stand-in generates. It follows from the version and
/// the prompt alone, so that a checker knows every byte of a whole answer, and
/// so that an engine that is given a part of it goes on with the same text.
///
/// Index: [prompt] [answer_text] [checking]
///
/// The first token names the version, so a checker needs only the prompt.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::standins
{

// [prompt] -------------------------------------------------------------------

/// What an engine reads from the body of a chat completion.
struct chat_prompt
{
    std::string rendered;             ///< All messages as one text.
    std::string begun;                ///< Text to go on from; may be empty.
    std::string model;                ///< Version asked for; may be empty.
    bool stream = false;              ///< Server-sent events wanted.
    std::uint64_t max_tokens = 4'096; ///< To generate in this request.
};

/// Reads a chat completion's body.
///
/// @return The prompt, or why the body is not valid.
[[nodiscard]] transport::result<chat_prompt>
read_chat_prompt(const std::string& body);

/// Bytes of text that count as one token of a prompt.
inline constexpr std::size_t bytes_per_token = 4;

/// @return The number of tokens of a prompt's text.
[[nodiscard]] std::uint64_t count_prompt_tokens(std::string_view text) noexcept;

// [answer_text] --------------------------------------------------------------

/// Makes the tokens of one answer.
class answer_text
{
public:
    /// @param version Version that answers.
    /// @param rendered The prompt without the text to go on from.
    answer_text(std::string_view version, std::string_view rendered);

    /// @return Token number `at`, counted from 0.
    [[nodiscard]] std::string token(std::uint64_t at) const;

    /// @return Tokens of the whole answer: what the prompt asks for by
    /// `[tokens=N]`, else some number between 24 and 151.
    [[nodiscard]] std::uint64_t size() const noexcept;

    /// @return The first tokens as one text.
    [[nodiscard]] std::string first(std::uint64_t tokens) const;

    /// Finds where to go on.
    ///
    /// @param begun Text that the caller has.
    /// @param rest Set to the rest of a token that was cut in its middle.
    /// @return The number of the next whole token, or nothing when the text is
    /// not a beginning of this answer.
    [[nodiscard]] transport::result<std::uint64_t>
    position(std::string_view begun, std::string& rest) const;

private:
    std::string version_;
    std::uint64_t seed_;
    std::uint64_t size_;
};

// [checking] -----------------------------------------------------------------

/// How an answer compares with what it must be.
enum class answer_check : std::uint8_t
{
    whole,     ///< Every byte as expected, to the end.
    cut_short, ///< A true beginning, but not all of it.
    wrong      ///< Some other text.
};

/// Compares a received text with the answer to a prompt.
///
/// @param body The chat completion's body that was sent.
/// @param received All text received.
[[nodiscard]] answer_check check_answer(const std::string& body,
                                        std::string_view received);

} // namespace hyssopdeal::standins

#endif
