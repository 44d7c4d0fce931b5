#include "kv_transfer.hpp"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "answer_text.hpp"
#include "json_answer.hpp"

namespace hyssopdeal::standins
{

namespace
{

constexpr std::uint64_t kv_bytes_per_token = 100'000;
constexpr int bad_gateway = 502;

} // namespace

kv_transfer::kv_transfer(transport::event_loop& loop,
                         const transport::clock& clock, prefix_cache& cache)
    : loop_(loop),
      clock_(clock),
      cache_(cache),
      client_(loop)
{}

transport::http_response kv_transfer::export_blocks(std::string_view attempt,
                                                    std::string_view text)
{
    exported_[std::string(attempt)] = block_chain(text);
    return json_answer(
        200, fmt::format("{{\"handle\":\"{}\",\"bytes\":{}}}", attempt,
                         count_prompt_tokens(text) * kv_bytes_per_token));
}

transport::http_response
kv_transfer::stored_blocks(std::string_view handle) const
{
    const auto found = exported_.find(std::string(handle));
    if (found == exported_.end())
    {
        return error_answer(404, "not_found", "No such handle.");
    }
    nlohmann::json body;
    body["blocks"] = found->second;
    return json_answer(200, body.dump());
}

void kv_transfer::import_blocks(const std::string& body,
                                std::uint64_t bytes_per_ms,
                                transport::http_responder responder)
try
{
    const auto wanted = nlohmann::json::parse(body);
    transport::http_request request;
    request.target =
        std::string(kv_path) + wanted.at("handle").get<std::string>();
    const auto from = wanted.at("from").get<std::string>();
    const auto number = ++last_number_;
    imports_[number] = client_.fetch(
        from, request, {},
        [this, responder, number, bytes_per_ms](
            const transport::result<transport::http_response>& answer) {
            fetched(answer, bytes_per_ms, responder);
            loop_.post([this, number] { imports_.erase(number); });
        });
}
catch (const nlohmann::json::exception& error)
{
    responder.send(error_answer(400, "bad_request", error.what()));
}

void kv_transfer::fetched(
    const transport::result<transport::http_response>& answer,
    std::uint64_t bytes_per_ms, transport::http_responder responder)
{
    if (!answer || answer->status != 200)
    {
        responder.send(error_answer(bad_gateway, "no_blocks",
                                    "The other engine gave no blocks."));
        return;
    }
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    if (body.is_discarded() || !body.contains("blocks"))
    {
        responder.send(error_answer(bad_gateway, "no_blocks",
                                    "The blocks were not understood."));
        return;
    }
    auto chain = body["blocks"].get<std::vector<std::uint64_t>>();
    const auto tokens = chain.size() * block_bytes / bytes_per_token;
    const std::chrono::milliseconds time{tokens * kv_bytes_per_token /
                                         bytes_per_ms};
    const auto number = ++last_number_;
    delays_[number] =
        loop_.after(time, [this, number, chain = std::move(chain),
                           responder = std::move(responder)]() mutable {
            cache_.store(chain, clock_.monotonic_now());
            responder.send(json_answer(
                200, fmt::format("{{\"blocks\":{}}}", chain.size())));
            loop_.post([this, number] { delays_.erase(number); });
        });
}

} // namespace hyssopdeal::standins
