#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_UNREADABLE_TEXT_LOG_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_UNREADABLE_TEXT_LOG_HPP

/// @file
/// Logs text in responses that cannot be read. A server may send it in every
/// response.
///
/// Index: [unreadable_text_log]

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [unreadable_text_log] ------------------------------------------------------

/// One kind of text, by server, at most once a minute for each.
class unreadable_text_log
{
public:
    /// @param event Name of the log line; must outlive this object.
    explicit unreadable_text_log(std::string_view event) noexcept
        : event_(event)
    {}

    /// Logs the beginning of a text, unless the server had a line lately.
    void add(transport::monotonic_time now, const std::string& server,
             std::string_view text);

    /// Forgets the servers that are not listed.
    ///
    /// @param listed Has the ids of those that are, as keys.
    template <class Map>
    void keep(const Map& listed)
    {
        std::erase_if(logged_at_, [&](const auto& item) {
            return !listed.contains(item.first);
        });
    }

private:
    std::string_view event_;
    std::map<std::string, transport::monotonic_time> logged_at_;
};

} // namespace hyssopdeal::coordination

#endif
