#include "answer_text.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace hyssopdeal::standins
{

namespace
{

constexpr std::uint64_t fewest_tokens = 24;
constexpr std::uint64_t spread_of_tokens = 128;
constexpr std::string_view size_mark = "[tokens=";

constexpr std::array<std::string_view, 32> words = {
    "bright ",   "apple ",  "tannin ",  "honey ", "tide ",   "shore ",
    "sand ",     "wave ",   "cloudy ",  "crisp ", "oak ",    "floral ",
    "transect ", "north ",  "retreat ", "metre ", "finish ", "balanced ",
    "acid ",     "sweet ",  "pear ",    "smoke ", "dune ",   "gauge ",
    "survey ",   "quince ", "mild ",    "sharp ", "earthy ", "dry ",
    "long ",     "clear "};

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t asked_size(std::string_view rendered)
{
    const auto mark = rendered.rfind(size_mark);
    std::uint64_t size = 0;
    if (mark != std::string_view::npos)
    {
        const auto digits = rendered.substr(mark + size_mark.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), size);
    }
    return size;
}

std::string text_of(const nlohmann::json& content)
{
    return content.is_string() ? content.get<std::string>() : content.dump();
}

chat_prompt prompt_of(const nlohmann::json& body)
{
    chat_prompt prompt;
    const auto& messages = body.at("messages");
    const bool goes_on = body.value("continue_final_message", false);
    for (std::size_t at = 0; at < messages.size(); ++at)
    {
        const auto& message = messages[at];
        const auto content = text_of(message.at("content"));
        if (goes_on && at + 1 == messages.size())
        {
            prompt.begun = content;
            break;
        }
        prompt.rendered += content + '\n';
    }
    prompt.model = body.value("model", std::string{});
    prompt.stream = body.value("stream", false);
    prompt.max_tokens = body.value("max_tokens", prompt.max_tokens);
    return prompt;
}

} // namespace

transport::result<chat_prompt> read_chat_prompt(const std::string& body)
{
    try
    {
        return prompt_of(nlohmann::json::parse(body));
    }
    catch (const nlohmann::json::exception& error)
    {
        return transport::fail(transport::reason::bad_request, error.what());
    }
}

std::uint64_t count_prompt_tokens(std::string_view text) noexcept
{
    return (text.size() + bytes_per_token - 1) / bytes_per_token;
}

answer_text::answer_text(std::string_view version, std::string_view rendered)
    : version_(version),
      seed_(hash_of(rendered, hash_of(version, 0))),
      size_(asked_size(rendered))
{
    if (size_ == 0)
    {
        size_ = fewest_tokens + hash_of(rendered, 0) % spread_of_tokens;
    }
}

std::string answer_text::token(std::uint64_t at) const
{
    if (at == 0)
    {
        return version_ + ": ";
    }
    const auto hash = XXH64(&at, sizeof at, seed_);
    return std::string(words[hash % words.size()]);
}

std::uint64_t answer_text::size() const noexcept
{
    return size_;
}

std::string answer_text::first(std::uint64_t tokens) const
{
    std::string text;
    for (std::uint64_t at = 0; at < tokens; ++at)
    {
        text += token(at);
    }
    return text;
}

transport::result<std::uint64_t> answer_text::position(std::string_view begun,
                                                       std::string& rest) const
{
    rest.clear();
    std::uint64_t at = 0;
    while (!begun.empty())
    {
        const auto next = token(at);
        const auto common = std::min(next.size(), begun.size());
        if (at >= size_ || begun.substr(0, common) != next.substr(0, common))
        {
            return transport::fail(transport::reason::bad_request,
                                   "The text is not of this answer.");
        }
        rest = next.substr(common);
        begun.remove_prefix(common);
        ++at;
    }
    return at;
}

answer_check check_answer(const std::string& body, std::string_view received)
{
    const auto prompt = read_chat_prompt(body);
    const auto colon = received.find(": ");
    if (!prompt || colon == std::string_view::npos)
    {
        return received.empty() ? answer_check::cut_short : answer_check::wrong;
    }
    const answer_text answer(received.substr(0, colon), prompt->rendered);
    const auto size = std::min(answer.size(), prompt->max_tokens);
    const auto expected = answer.first(size);
    if (received == expected)
    {
        return answer_check::whole;
    }
    return expected.starts_with(received) ? answer_check::cut_short
                                          : answer_check::wrong;
}

} // namespace hyssopdeal::standins
