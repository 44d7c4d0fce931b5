#include <hyssopdeal/protocol/sse_parser.hpp>

namespace hyssopdeal::protocol
{

sse_parser::sse_parser(std::size_t max_event_bytes) noexcept
    : max_event_bytes_(max_event_bytes)
{}

bool sse_parser::has_partial_event() const noexcept
{
    return size_ > 0;
}

// A whole line is mostly read in place; only one that came in two pieces goes
// through the buffer.
bool sse_parser::take_part(std::string_view part)
{
    if (partial_.empty())
    {
        return take_line(part);
    }
    partial_ += part;
    const bool whole = take_line(partial_);
    partial_.clear();
    return whole;
}

bool sse_parser::take_line(std::string_view line)
{
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    if (line.empty())
    {
        const bool whole = has_data_;
        if (!whole)
        {
            clear();
        }
        return whole;
    }
    const auto colon = line.find(':');
    const auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view{}
                                                 : line.substr(colon + 1);
    if (value.starts_with(' '))
    {
        value.remove_prefix(1);
    }
    if (field == "data")
    {
        if (has_data_)
        {
            data_ += '\n';
        }
        data_ += value;
        has_data_ = true;
    }
    else if (field == "id")
    {
        id_ = value;
    }
    else if (field == "event")
    {
        name_ = value;
    }
    return false;
}

void sse_parser::clear() noexcept
{
    size_ = 0;
    id_.clear();
    name_.clear();
    data_.clear();
    has_data_ = false;
}

} // namespace hyssopdeal::protocol
