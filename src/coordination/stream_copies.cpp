#include <hyssopdeal/coordination/stream_copies.hpp>

#include <algorithm>
#include <functional>
#include <map>

namespace hyssopdeal::coordination
{

namespace
{

using transport::fail;
using transport::reason;

/// Whether the stream still runs, as far as the owner said.
enum class copy_phase : std::uint8_t
{
    open,
    closed
};

struct held_copy
{
    stream_copy copy;
    std::size_t bytes = 0;
    copy_phase phase = copy_phase::open;
    transport::monotonic_time touched_at{};
};

std::size_t bytes_of(const stream_origin& origin)
{
    return sizeof(held_copy) + origin.stream.size() +
           origin.organisation.size() + origin.service.size() +
           origin.version.size() + origin.target.size() + origin.body.size();
}

std::size_t bytes_of(const stream_event& event)
{
    return sizeof(stream_event) + event.text.size() + event.data.size();
}

/// Whether an owner with an older epoch produced another event of this number.
bool is_held_differently(const stream_copy& copy, const stream_event& event)
{
    if (event.number == 0 || event.number > copy.events.size())
    {
        return false;
    }
    const auto& held = copy.events[event.number - 1];
    return held.kind != event.kind || held.text != event.text ||
           held.data != event.data;
}

} // namespace

struct stream_copies::impl
{
    stream_copies_settings settings;
    std::map<std::string, held_copy, std::less<>> copies;
    std::size_t bytes = 0;

    [[nodiscard]] bool has_room(std::size_t more) const
    {
        return bytes + more <= settings.max_bytes;
    }

    [[nodiscard]] transport::monotonic_time
    forgotten_at(const held_copy& held) const
    {
        return held.touched_at + (held.phase == copy_phase::closed
                                      ? settings.closed_retention
                                      : settings.retention);
    }

    /// Forgets the events from a number on.
    void truncate(held_copy& held, std::uint64_t from)
    {
        while (held.copy.events.size() >= from)
        {
            const auto less = bytes_of(held.copy.events.back());
            held.bytes -= less;
            bytes -= less;
            held.copy.events.pop_back();
        }
        // The old owner's attempt stands beyond what is left.
        held.copy.attempt = {};
        held.copy.server.clear();
        held.copy.sequence = 0;
    }

    /// Adds the events that come next; those that are here alike are skipped.
    transport::result<void> add(held_copy& held,
                                std::vector<stream_event> events)
    {
        for (auto& event : events)
        {
            if (is_held_differently(held.copy, event))
            {
                truncate(held, event.number);
            }
            if (event.number != held.copy.events.size() + 1)
            {
                continue;
            }
            const auto more = bytes_of(event);
            if (!has_room(more))
            {
                return fail(reason::overloaded,
                            "The memory for copies is used up.");
            }
            held.bytes += more;
            bytes += more;
            held.copy.events.push_back(std::move(event));
        }
        return {};
    }
};

stream_copies::stream_copies(stream_copies_settings settings)
    : impl_(std::make_unique<impl>(impl{settings, {}, 0}))
{}

stream_copies::stream_copies(stream_copies&&) noexcept = default;
stream_copies& stream_copies::operator=(stream_copies&&) noexcept = default;
stream_copies::~stream_copies() = default;

transport::result<copy_answer>
stream_copies::open(transport::monotonic_time now, const stream_origin& origin,
                    std::string_view owner, owner_epoch epoch)
{
    auto found = impl_->copies.find(origin.stream);
    if (found == impl_->copies.end())
    {
        const auto more = bytes_of(origin);
        if (!impl_->has_room(more))
        {
            return fail(reason::overloaded,
                        "The memory for copies is used up.");
        }
        held_copy held;
        held.copy.origin = origin;
        held.bytes = more;
        impl_->bytes += more;
        found = impl_->copies.emplace(origin.stream, std::move(held)).first;
    }
    auto& held = found->second;
    if (epoch < held.copy.epoch ||
        (epoch == held.copy.epoch && owner != held.copy.owner))
    {
        return fail(reason::revision_conflict,
                    "Another owner has taken the stream over.");
    }
    held.copy.owner = owner;
    held.copy.epoch = epoch;
    held.touched_at = now;
    return copy_answer{held.copy.events.size(), epoch};
}

transport::result<copy_answer>
stream_copies::append(transport::monotonic_time now, std::string_view stream,
                      owner_epoch epoch, copied_batch batch)
{
    const auto found = impl_->copies.find(stream);
    if (found == impl_->copies.end())
    {
        return fail(reason::not_found, "There is no copy of the stream.");
    }
    auto& held = found->second;
    if (epoch != held.copy.epoch)
    {
        return fail(reason::revision_conflict,
                    "Another owner has taken the stream over.");
    }
    held.touched_at = now;
    auto added = impl_->add(held, std::move(batch.events));
    if (!added)
    {
        return tl::unexpected{added.error()};
    }
    // The attempt's position is only right for exactly these events.
    if (batch.up_to == held.copy.events.size())
    {
        held.copy.attempt = batch.attempt;
        held.copy.server = std::move(batch.server);
        held.copy.sequence = batch.sequence;
    }
    return copy_answer{held.copy.events.size(), epoch};
}

transport::result<stream_copy>
stream_copies::take_over(transport::monotonic_time now, std::string_view stream,
                         std::string_view organisation,
                         std::string_view new_owner)
{
    const auto found = impl_->copies.find(stream);
    if (found == impl_->copies.end())
    {
        return fail(reason::not_found, "There is no such stream.");
    }
    auto& held = found->second;
    if (held.copy.origin.organisation != organisation)
    {
        return fail(reason::forbidden,
                    "Another organisation opened the stream.");
    }
    held.copy.owner = new_owner;
    ++held.copy.epoch;
    held.touched_at = now;
    return held.copy;
}

void stream_copies::close(std::string_view stream, owner_epoch epoch)
{
    const auto found = impl_->copies.find(stream);
    if (found != impl_->copies.end() && found->second.copy.epoch == epoch)
    {
        found->second.phase = copy_phase::closed;
    }
}

std::vector<stream_copy> stream_copies::expire(transport::monotonic_time now)
{
    std::vector<stream_copy> abandoned;
    for (auto at = impl_->copies.begin(); at != impl_->copies.end();)
    {
        auto& held = at->second;
        if (impl_->forgotten_at(held) > now)
        {
            ++at;
            continue;
        }
        impl_->bytes -= held.bytes;
        if (held.phase == copy_phase::open)
        {
            abandoned.push_back(std::move(held.copy));
        }
        at = impl_->copies.erase(at);
    }
    return abandoned;
}

const stream_copy* stream_copies::find(std::string_view stream) const
{
    const auto found = impl_->copies.find(stream);
    return found != impl_->copies.end() ? &found->second.copy : nullptr;
}

std::vector<std::string> stream_copies::streams_of(std::string_view owner) const
{
    std::vector<std::string> names;
    for (const auto& [name, held] : impl_->copies)
    {
        if (held.copy.owner == owner && held.phase == copy_phase::open)
        {
            names.push_back(name);
        }
    }
    return names;
}

std::size_t stream_copies::bytes() const noexcept
{
    return impl_->bytes;
}

std::size_t stream_copies::size() const noexcept
{
    return impl_->copies.size();
}

} // namespace hyssopdeal::coordination
