#include "move_calls.hpp"

#include <utility>

namespace hyssopdeal::coordination
{

move_calls::move_calls(transport::event_loop& loop)
    : client_{loop}
{}

void move_calls::start(const std::string& address,
                       const transport::http_request& request,
                       std::chrono::milliseconds time_limit,
                       answer_handler handler)
{
    constexpr std::size_t max_answer_bytes = 1'048'576;
    transport::http_call_settings limits;
    limits.connection = transport::connection_choice::fresh;
    limits.connect_time_limit = time_limit;
    limits.total_time_limit = time_limit;
    limits.max_body_bytes = max_answer_bytes;
    // Callers read the status only, or JSON, of which a part is refused.
    limits.proves_end = transport::needs_no_end;
    const auto id = next_++;
    calls_.emplace(id, client_.fetch(address, request, limits,
                                     [this, id, handler = std::move(handler)](
                                         const auto& answer) {
                                         finished_.push_back(id);
                                         handler(answer);
                                     }));
}

void move_calls::collect()
{
    for (const auto id : std::exchange(finished_, {}))
    {
        calls_.erase(id);
    }
}

} // namespace hyssopdeal::coordination
