#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_EVENT_SPLITTER_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_EVENT_SPLITTER_HPP

/// @file
/// Splits a stream of server-sent events into complete events without changing
/// their bytes, and extracts event ids.
///
/// Index: [event_splitter]

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopdeal::coordination
{

// [event_splitter] -----------------------------------------------------------

/// Incremental splitter for the event stream of one response.
class event_splitter
{
public:
    /// Appends received bytes, which may end anywhere within an event.
    void feed(std::string_view bytes)
    {
        pending_ += bytes;
    }

    /// Removes the next complete event from the buffer.
    ///
    /// @return The event including its terminating blank line; nullopt when no
    ///     complete event is buffered.
    [[nodiscard]] std::optional<std::string> next_event();

    /// @return Buffered bytes that `next_event` has not returned yet.
    [[nodiscard]] const std::string& remainder() const noexcept
    {
        return pending_;
    }

    void discard_remainder()
    {
        pending_.clear();
        search_offset_ = 0;
    }

    /// @return Value of the event's first `id` field; empty when it has none.
    [[nodiscard]] static std::string_view event_id(std::string_view event);

    /// @return Whether the event has more than comments and blank lines.
    [[nodiscard]] static bool has_fields(std::string_view event);

private:
    std::string pending_;
    std::size_t search_offset_ = 0; ///< No event ends before this offset.
};

} // namespace hyssopdeal::coordination

#endif
