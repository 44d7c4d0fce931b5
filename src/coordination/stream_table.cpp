#include "stream_table.hpp"

#include <algorithm>
#include <utility>

#include "entry_shard.hpp"
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
    session->resume(organisation, last_event, responder);
    return true;
}

void stream_table::erase(std::string_view stream)
{
    sessions_.erase(std::string{stream});
}

std::size_t stream_table::open_streams() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(),
                      [](const auto& item) { return item.second->is_open(); }));
}

} // namespace hyssopdeal::coordination
