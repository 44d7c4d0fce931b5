/// @file
/// Up to which event a caller has a stream.

#include <hyssopdeal/coordination/gateway/stream_position.hpp>

#include <charconv>
#include <optional>
#include <string_view>

#include <hyssopdeal/coordination/gateway/event_splitter.hpp>

namespace hyssopdeal::coordination
{

namespace
{

/// @return Nothing if the id is not a number.
std::optional<std::uint64_t> parse_number(std::string_view id)
{
    std::uint64_t number = 0;
    const auto* const end = id.data() + id.size();
    const auto parsed = std::from_chars(id.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{number}
                                                         : std::nullopt;
}

} // namespace

// [stream_position] ----------------------------------------------------------

void stream_position::on_attempt() noexcept
{
    received_number_ = last_number_;
    relayed_event_ = false;
    numbers_went_back_ = false;
}

bool stream_position::accept(const std::string& event)
{
    const auto id = event_splitter::event_id(event);
    if (id.empty())
    {
        known_ = known_ && !event_splitter::has_fields(event);
        relayed_event_ = true;
        return true;
    }
    if (const auto number = parse_number(id))
    {
        received_number_ = *number;
        numbers_went_back_ =
            numbers_went_back_ || (relayed_event_ && *number < last_number_);
        if (!last_id_.empty() && *number <= last_number_)
        {
            return false;
        }
        last_number_ = *number;
    }
    last_id_ = id;
    known_ = true;
    relayed_event_ = true;
    return true;
}

} // namespace hyssopdeal::coordination
