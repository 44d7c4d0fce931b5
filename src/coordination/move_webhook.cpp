#include "move_webhook.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include <hyssopdeal/transport/json_text.hpp>
#include <hyssopdeal/transport/logging.hpp>

namespace hyssopdeal::coordination
{

const char* outcome_of(state::move_phase phase)
{
    switch (phase)
    {
    case state::move_phase::done:
        return "done";
    case state::move_phase::taken_back:
        return "taken_back";
    case state::move_phase::cancelled:
        return "cancelled";
    default:
        return "running";
    }
}

move_webhook::move_webhook(transport::event_loop& loop, move_calls& calls,
                           const move_runner_settings& settings)
    : loop_{loop},
      calls_{calls},
      settings_{settings}
{}

void move_webhook::tell(const state::move_record& move)
{
    if (settings_.webhook_address.empty())
    {
        return;
    }
    const nlohmann::json body{{"service", move.order.service},
                              {"version", move.order.version},
                              {"order_id", move.order.order_id},
                              {"outcome", outcome_of(move.status.phase)},
                              {"evidence", move.status.evidence}};
    const auto number = next_++;
    messages_[number].body = transport::json_text(body);
    post(number);
}

void move_webhook::post(std::uint64_t number)
{
    auto& told = messages_.at(number);
    ++told.attempts;
    transport::http_request request;
    request.method = "POST";
    request.target = settings_.webhook_path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = told.body;
    calls_.start(
        settings_.webhook_address, request, settings_.call_limit,
        [this, number](const auto& answer) { on_answer(number, answer); });
}

void move_webhook::on_answer(
    std::uint64_t number,
    const transport::result<transport::http_response>& answer)
{
    constexpr int first_redirect = 300;
    constexpr std::uint32_t longest_doubling = 8;
    const auto found = messages_.find(number);
    if (found == messages_.end())
    {
        return;
    }
    auto& told = found->second;
    const bool reached = answer && answer->status < first_redirect;
    if (reached || told.attempts >= settings_.webhook_attempts)
    {
        if (!reached)
        {
            transport::log_warning(transport::log_part::move,
                                   "The webhook was not reached. attempts={}",
                                   told.attempts);
        }
        messages_.erase(found);
        return;
    }
    const auto delay =
        std::chrono::seconds{1 << std::min(told.attempts, longest_doubling)};
    told.timer = loop_.after(delay, [this, number] { post(number); });
}

} // namespace hyssopdeal::coordination
