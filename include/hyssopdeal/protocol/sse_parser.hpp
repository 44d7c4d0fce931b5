#ifndef HYSSOPDEAL_PROTOCOL_SSE_PARSER_HPP
#define HYSSOPDEAL_PROTOCOL_SSE_PARSER_HPP

/// @file
/// Reads server-sent events from pieces of any size.
///
/// Index: [sse_event] [sse_parser]

#include <cstddef>
#include <string>
#include <string_view>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [sse_event] ----------------------------------------------------------------

/// One event; valid until the parser is used again.
struct sse_event
{
    std::string_view id;   ///< Of this event alone; empty when it has none.
    std::string_view name; ///< `event:`, empty when it has none.
    std::string_view data; ///< Lines joined by line feeds.
};

// [sse_parser] ---------------------------------------------------------------

/// Cuts a stream into events. Comments and events without data are skipped.
/// Keeps its buffers, so that it allocates nothing for each event.
class sse_parser
{
public:
    /// @param max_event_bytes Cap of one event; a larger one is a failure.
    explicit sse_parser(std::size_t max_event_bytes = 1'048'576) noexcept;

    /// Takes a piece and calls a function with each event that became whole.
    ///
    /// @param on_event Called as `on_event(const sse_event&)`; must not use
    ///     the parser.
    /// @return too_large when an event passes the cap; the parser must not be
    ///     used any more then.
    template <class Handler>
    [[nodiscard]] transport::result<void> feed(std::string_view piece,
                                               Handler&& on_event)
    {
        while (!piece.empty())
        {
            const auto end = piece.find('\n');
            const auto part = piece.substr(0, end);
            if (part.size() > max_event_bytes_ - size_)
            {
                return transport::fail(transport::reason::too_large,
                                       "An event of a stream is too large.");
            }
            size_ += part.size();
            if (end == std::string_view::npos)
            {
                partial_ += part;
                return {};
            }
            piece.remove_prefix(end + 1);
            if (take_part(part))
            {
                on_event(sse_event{id_, name_, data_});
                clear();
            }
        }
        return {};
    }

    /// @return Whether bytes of an unfinished event are waiting.
    [[nodiscard]] bool has_partial_event() const noexcept;

private:
    [[nodiscard]] bool take_part(std::string_view part);
    [[nodiscard]] bool take_line(std::string_view line);
    void clear() noexcept;

    std::size_t max_event_bytes_;
    std::size_t size_ = 0; // of the event that is being read
    std::string partial_;  // line that is not whole yet
    std::string id_;
    std::string name_;
    std::string data_;
    bool has_data_ = false;
};

} // namespace hyssopdeal::protocol

#endif
