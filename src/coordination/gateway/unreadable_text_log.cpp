/// @file
/// Log lines on text in responses that cannot be read.

#include <hyssopdeal/coordination/gateway/unreadable_text_log.hpp>

#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

void unreadable_text_log::add(transport::monotonic_time now,
                              const std::string& server, std::string_view text)
{
    constexpr std::chrono::minutes interval{1};
    constexpr std::size_t max_text = 40;
    const auto [logged, first] = logged_at_.try_emplace(server, now);
    if (first || now - logged->second >= interval)
    {
        logged->second = now;
        transport::log_event(
            event_, {{"server", server}, {"named", text.substr(0, max_text)}});
    }
}

} // namespace hyssopdeal::coordination
