#include "stream_table.hpp"

#include <algorithm>
#include <utility>

#include "entry_shard.hpp"
#include "stream_exchange.hpp"
#include "stream_session.hpp"

namespace hyssopdeal::coordination
{

stream_table::stream_table() = default;

stream_table::~stream_table() = default;

void stream_table::open(entry_shard& shard, accepted_request request,
                        permit admitted,
                        const transport::http_responder& responder)
{
    auto id = to_string(shard.next_id());
    const auto session = std::make_shared<stream_session>(
        shard, id, std::move(request), std::move(admitted), responder);
    sessions_.emplace(std::move(id), session);
    session->start();
}

bool stream_table::resume(std::string_view stream,
                          std::string_view organisation,
                          std::uint64_t last_event,
                          const transport::http_responder& responder)
{
    const auto found = sessions_.find(std::string{stream});
    if (found == sessions_.end())
    {
        return false;
    }
    const auto session = found->second;
    return session->resume(organisation, last_event, responder);
}

void stream_table::look_elsewhere(
    entry_shard& shard, const std::string& stream,
    const std::string& organisation,
    std::function<void(transport::result<stream_copy>)> on_copy)
{
    const auto owner = stream_session::owner_name(shard);
    take_stream_over(shard, stream, organisation, owner, std::move(on_copy));
}

void stream_table::adopt(entry_shard& shard, accepted_request request,
                         stream_copy copy, std::uint64_t last_event,
                         const transport::http_responder& responder)
{
    const auto id = copy.origin.stream;
    auto admitted =
        shard.limits.adopt_stream(request.organisation, request.route.priority);
    const auto session = std::make_shared<stream_session>(
        shard, id, std::move(request), std::move(admitted), responder);
    sessions_.insert_or_assign(id, session);
    session->adopt(std::move(copy), last_event);
}

void stream_table::hand_over()
{
    const auto open = sessions_;
    for (const auto& [id, session] : open)
    {
        session->hand_over();
    }
}

void stream_table::erase(const stream_session& session)
{
    // The same stream may have come back in a newer session.
    const auto found = sessions_.find(session.id());
    if (found != sessions_.end() && found->second.get() == &session)
    {
        sessions_.erase(found);
    }
}

std::size_t stream_table::open_streams() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(),
                      [](const auto& item) { return item.second->is_open(); }));
}

} // namespace hyssopdeal::coordination
