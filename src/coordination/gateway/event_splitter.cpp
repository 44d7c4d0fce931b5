/// @file
/// Cuts a stream of server-sent events into whole events.

#include <hyssopdeal/coordination/gateway/event_splitter.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

std::optional<std::string> event_splitter::next()
{
    constexpr std::string_view plain = "\n\n";
    constexpr std::string_view with_returns = "\r\n\r\n";
    const auto first = pending_.find(plain, searched_);
    const auto second = pending_.find(with_returns, searched_);
    const auto end = std::min(
        first == std::string::npos ? first : first + plain.size(),
        second == std::string::npos ? second : second + with_returns.size());
    if (end == std::string::npos)
    {
        constexpr std::size_t overlap = with_returns.size() - 1;
        searched_ = pending_.size() - std::min(pending_.size(), overlap);
        return std::nullopt;
    }
    auto event = pending_.substr(0, end);
    pending_.erase(0, end);
    searched_ = 0;
    return event;
}

std::string_view event_splitter::id_of(std::string_view event)
{
    while (!event.empty())
    {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with("id:"))
        {
            continue;
        }
        line.remove_prefix(3);
        while (line.starts_with(' '))
        {
            line.remove_prefix(1);
        }
        while (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        return line;
    }
    return {};
}

} // namespace hyssopdeal::coordination
