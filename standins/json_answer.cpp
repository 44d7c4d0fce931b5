#include "json_answer.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace hyssopdeal::standins
{

transport::http_response json_answer(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

transport::http_response error_answer(int status, std::string_view reason,
                                      std::string_view text)
{
    nlohmann::json body;
    body["error"]["reason"] = reason;
    body["error"]["text"] = text;
    return json_answer(status, body.dump());
}

transport::http_response refusal(std::string_view text)
{
    constexpr int service_unavailable = 503;
    auto answer = error_answer(service_unavailable, "refused", text);
    answer.headers.push_back({"Hyssopdeal-Refused", "before_run"});
    return answer;
}

std::uint64_t query_number(std::string_view target, std::string_view key,
                           std::uint64_t otherwise) noexcept
{
    auto at = target.find('?');
    while (at != std::string_view::npos)
    {
        auto field = target.substr(at + 1);
        at = target.find('&', at + 1);
        if (field.starts_with(key) && field.substr(key.size()).starts_with('='))
        {
            field.remove_prefix(key.size() + 1);
            std::uint64_t value = otherwise;
            std::from_chars(field.data(), field.data() + field.size(), value);
            return value;
        }
    }
    return otherwise;
}

} // namespace hyssopdeal::standins
