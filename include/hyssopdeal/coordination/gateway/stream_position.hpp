#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_STREAM_POSITION_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_STREAM_POSITION_HPP

/// @file
/// Up to which event a caller has a stream, and whether another server can
/// resume it after that event. Handles servers that repeat events when they
/// resume a stream, and servers whose events come without ids or out of order.
/// Performs no I/O.
///
/// Index: [stream_position]

#include <cstdint>
#include <string>

namespace hyssopdeal::coordination
{

// [stream_position] ----------------------------------------------------------

/// The position in one caller's stream, over all attempts that send parts of
/// it.
class stream_position
{
public:
    /// Begins another attempt, which is to send what follows the position.
    void on_attempt() noexcept;

    /// Remembers the id of an event, after which the stream can be resumed.
    ///
    /// @return Whether the event is to be relayed; false if its number shows
    ///     that the caller already has it.
    [[nodiscard]] bool accept(const std::string& event);

    /// @return Of the last relayed event that had one; empty: none.
    [[nodiscard]] const std::string& last_id() const noexcept
    {
        return last_id_;
    }

    /// @return Whether no event without an id follows the last one that had an
    ///     id.
    [[nodiscard]] bool is_known() const noexcept
    {
        return known_;
    }

    /// @return Whether the attempt sent an event with a smaller number than one
    ///     before: events are missing, and the place to resume after is not
    ///     known.
    [[nodiscard]] bool numbers_went_back() const noexcept
    {
        return numbers_went_back_;
    }

    /// @return Whether the numbers show that the attempt did not send all
    ///     events.
    [[nodiscard]] bool misses_events() const noexcept
    {
        return numbers_went_back_ || received_number_ < last_number_;
    }

    /// @return Whether another attempt can continue the stream.
    [[nodiscard]] bool can_resume() const noexcept
    {
        return known_ && !numbers_went_back_;
    }

private:
    std::string last_id_;
    std::uint64_t last_number_ = 0;
    bool known_ = true;
    /// Of the last numbered event of the attempt, relayed or not.
    std::uint64_t received_number_ = 0;
    bool relayed_event_ = false; ///< From the attempt.
    bool numbers_went_back_ = false;
};

} // namespace hyssopdeal::coordination

#endif
