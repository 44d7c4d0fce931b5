/// @file
/// Splits a stream of server-sent events into complete events.

#include <hyssopdeal/coordination/gateway/event_splitter.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

std::optional<std::string> event_splitter::next_event()
{
    // A blank line may end in CR LF after a line that ends in LF alone.
    constexpr std::string_view lf_terminator = "\n\n";
    constexpr std::string_view crlf_terminator = "\n\r\n";
    const auto lf_position = pending_.find(lf_terminator, search_offset_);
    const auto crlf_position = pending_.find(crlf_terminator, search_offset_);
    const auto end = std::min(lf_position == std::string::npos
                                  ? lf_position
                                  : lf_position + lf_terminator.size(),
                              crlf_position == std::string::npos
                                  ? crlf_position
                                  : crlf_position + crlf_terminator.size());
    if (end == std::string::npos)
    {
        // The buffer may end within a terminator, so the next search starts
        // that much earlier.
        constexpr std::size_t overlap = crlf_terminator.size() - 1;
        search_offset_ = pending_.size() - std::min(pending_.size(), overlap);
        return std::nullopt;
    }
    auto event = pending_.substr(0, end);
    pending_.erase(0, end);
    search_offset_ = 0;
    return event;
}

std::string_view event_splitter::event_id(std::string_view event)
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

bool event_splitter::has_fields(std::string_view event)
{
    while (!event.empty())
    {
        const auto end = std::min(event.find('\n'), event.size());
        const auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.empty() && line != "\r" && !line.starts_with(':'))
        {
            return true;
        }
    }
    return false;
}

} // namespace hyssopdeal::coordination
