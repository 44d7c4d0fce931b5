#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_EVENT_SPLITTER_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_EVENT_SPLITTER_HPP

/// @file
/// Cuts a stream of server-sent events into whole events, byte for byte, and
/// tells the id of the last one.
///
/// Index: [event_splitter]

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopdeal::coordination
{

// [event_splitter] -----------------------------------------------------------

/// One answer's events.
class event_splitter
{
public:
    /// Takes bytes as they come.
    void feed(std::string_view bytes)
    {
        pending_ += bytes;
    }

    /// @return The next whole event with its end, or nothing.
    [[nodiscard]] std::optional<std::string> next();

    /// @return Bytes behind the last whole event.
    [[nodiscard]] const std::string& rest() const noexcept
    {
        return pending_;
    }

    /// Forgets the bytes behind the last whole event.
    void drop_rest()
    {
        pending_.clear();
        searched_ = 0;
    }

    /// @return The id that an event carries; empty when it has none.
    [[nodiscard]] static std::string_view id_of(std::string_view event);

private:
    std::string pending_;
    std::size_t searched_ = 0; ///< No event ends before it.
};

} // namespace hyssopdeal::coordination

#endif
