#include <hyssopdeal/protocol/chat_codec.hpp>
#include <hyssopdeal/transport/json_text.hpp>

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

namespace hyssopdeal::protocol
{

using nlohmann::json;
using transport::fail;
using transport::failure;
using transport::reason;
using transport::result;

namespace
{

constexpr std::size_t max_messages = 4'096;
constexpr int max_depth = 32;
constexpr std::string_view end_mark = "[DONE]";

tl::unexpected<failure> bad(std::string text)
{
    return fail(reason::bad_request, std::move(text));
}

// Deep nesting would use up the stack when the value is destroyed or written.
json parse(std::string_view text)
{
    const auto shallow = [](int depth, json::parse_event_t, json&) {
        if (depth > max_depth)
        {
            throw std::length_error("nested too deep");
        }
        return true;
    };
    try
    {
        return json::parse(text, shallow, false);
    }
    catch (const std::exception&)
    {
        return json(json::value_t::discarded);
    }
}

std::uint32_t count_at(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned())
    {
        return 0;
    }
    constexpr std::uint64_t largest = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::uint32_t>(
        std::min(found->get<std::uint64_t>(), largest));
}

result<std::uint32_t> max_tokens_of(const json& request)
{
    for (const char* key : {"max_completion_tokens", "max_tokens"})
    {
        const auto found = request.find(key);
        if (found == request.end() || found->is_null())
        {
            continue;
        }
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0)
        {
            return bad(std::string{key} + " must be a number from 1 up.");
        }
        return count_at(request, key);
    }
    return 0;
}

// Content is a text, or a list of parts of which the texts count.
result<std::string> content_of(const json& message)
{
    const auto found = message.find("content");
    if (found == message.end() || found->is_null())
    {
        return std::string{};
    }
    if (found->is_string())
    {
        return found->get<std::string>();
    }
    if (!found->is_array())
    {
        return bad("A message's content must be a text or a list.");
    }
    std::string text;
    for (const auto& part : *found)
    {
        const auto piece = part.is_object() ? part.find("text") : part.end();
        if (part.is_object() && piece != part.end() && piece->is_string())
        {
            text += piece->get_ref<const std::string&>();
        }
    }
    return text;
}

result<std::string> prompt_of(const json& request)
{
    const auto messages = request.find("messages");
    if (messages == request.end() || !messages->is_array() ||
        messages->empty() || messages->size() > max_messages)
    {
        return bad("messages must be a list of 1 to 4096 messages.");
    }
    std::string prompt;
    for (const auto& message : *messages)
    {
        const auto role =
            message.is_object() ? message.find("role") : message.end();
        if (!message.is_object() || role == message.end() || !role->is_string())
        {
            return bad("Each message must be an object with a role.");
        }
        const auto content = content_of(message);
        if (!content)
        {
            return tl::unexpected(content.error());
        }
        prompt += role->get_ref<const std::string&>() + ":" + *content + "\n";
    }
    return prompt + "assistant:";
}

chat_event_kind kind_of(const json& choice)
{
    const auto finish = choice.find("finish_reason");
    return finish != choice.end() && finish->is_string()
               ? chat_event_kind::finish
               : chat_event_kind::text;
}

void read_choice(const json& choice, chat_event& event)
{
    event.kind = kind_of(choice);
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object())
    {
        return;
    }
    const auto content = delta->find("content");
    if (content != delta->end() && content->is_string())
    {
        event.text = content->get<std::string>();
    }
}

void read_usage(const json& usage, chat_event& event)
{
    event.prompt_tokens = count_at(usage, "prompt_tokens");
    event.cached_tokens = count_at(usage, "cached_tokens");
    event.completion_tokens = count_at(usage, "completion_tokens");
}

} // namespace

result<chat_request> read_chat(std::string_view body)
{
    const auto parsed = parse(body);
    if (!parsed.is_object())
    {
        return bad("The body must be a JSON object.");
    }
    chat_request request;
    const auto stream = parsed.find("stream");
    if (stream != parsed.end() && !stream->is_boolean())
    {
        return bad("stream must be true or false.");
    }
    if (stream != parsed.end() && stream->get<bool>())
    {
        request.mode = answer_mode::streamed;
    }
    const auto max_tokens = max_tokens_of(parsed);
    if (!max_tokens)
    {
        return tl::unexpected(max_tokens.error());
    }
    request.max_tokens = *max_tokens;
    auto prompt = prompt_of(parsed);
    if (!prompt)
    {
        return tl::unexpected(prompt.error());
    }
    request.prompt = std::move(*prompt);
    return request;
}

result<std::string> continue_chat(std::string_view body,
                                  const chat_progress& progress)
{
    auto parsed = parse(body);
    if (!parsed.is_object() || !parsed.contains("messages") ||
        !parsed["messages"].is_array())
    {
        return bad("The body must be a JSON object with messages.");
    }
    auto& messages = parsed["messages"];
    if (parsed.value("continue_final_message", json()) == json(true) &&
        !messages.empty() && messages.back().is_object() &&
        messages.back().value("content", json()).is_string())
    {
        auto& content = messages.back()["content"];
        content = content.get<std::string>() + std::string{progress.text};
    }
    else
    {
        messages.push_back({{"role", "assistant"}, {"content", progress.text}});
    }
    parsed["continue_final_message"] = true;
    for (const char* key : {"max_completion_tokens", "max_tokens"})
    {
        if (const auto limit = count_at(parsed, key); limit > 0)
        {
            parsed[key] =
                limit > progress.tokens ? limit - progress.tokens : 1U;
        }
    }
    return transport::json_text(parsed);
}

bool is_end_mark(std::string_view data) noexcept
{
    return data == end_mark;
}

result<chat_event> read_chat_event(std::string_view data)
{
    chat_event event;
    if (is_end_mark(data))
    {
        event.kind = chat_event_kind::done;
        return event;
    }
    // Never written again, so its depth does not matter.
    const auto parsed = json::parse(data, nullptr, false);
    if (!parsed.is_object())
    {
        return fail(reason::broken_answer, "An event is not a JSON object.",
                    transport::verdict::ran);
    }
    const auto choices = parsed.find("choices");
    if (choices == parsed.end() || !choices->is_array())
    {
        return fail(reason::broken_answer, "An event has no choices.",
                    transport::verdict::ran);
    }
    if (!choices->empty() && choices->front().is_object())
    {
        read_choice(choices->front(), event);
    }
    const auto usage = parsed.find("usage");
    if (usage != parsed.end() && usage->is_object())
    {
        read_usage(*usage, event);
    }
    return event;
}

} // namespace hyssopdeal::protocol
