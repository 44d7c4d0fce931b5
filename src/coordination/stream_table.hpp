#ifndef HYSSOPDEAL_SRC_COORDINATION_STREAM_TABLE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_STREAM_TABLE_HPP

/// @file
/// Internal: the streams that one shard owns, by their ids.
///
/// Index: [stream_table]

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <hyssopdeal/coordination/limiter.hpp>
#include <hyssopdeal/coordination/stream_copies.hpp>
#include <hyssopdeal/transport/http_server.hpp>

namespace hyssopdeal::coordination
{

struct accepted_request;
struct entry_shard;
class stream_session;

// [stream_table] -------------------------------------------------------------

/// Keeps each session until its stream is delivered and forgotten.
class stream_table
{
public:
    stream_table();
    stream_table(const stream_table&) = delete;
    stream_table& operator=(const stream_table&) = delete;
    ~stream_table();

    /// Starts a stream for an admitted request.
    void open(entry_shard& shard, accepted_request request, permit admitted,
              const transport::http_responder& responder);

    /// Lets a caller go on after an event.
    ///
    /// @return Whether the stream is here; only then the caller is answered.
    [[nodiscard]] bool resume(std::string_view stream,
                              std::string_view organisation,
                              std::uint64_t last_event,
                              const transport::http_responder& responder);

    /// Looks for a stream at the other instances and takes it over.
    ///
    /// @param on_copy Called once: the copy, to be given to adopt(), or why
    ///     there is none.
    void
    look_elsewhere(entry_shard& shard, const std::string& stream,
                   const std::string& organisation,
                   std::function<void(transport::result<stream_copy>)> on_copy);

    /// Goes on with a stream that was taken over.
    ///
    /// @param request The request that opened it.
    void adopt(entry_shard& shard, accepted_request request, stream_copy copy,
               std::uint64_t last_event,
               const transport::http_responder& responder);

    /// Ends all sessions here so that other instances can go on with their
    /// streams; the engines keep producing.
    void hand_over();

    /// Forgets a stream; its session is destroyed soon.
    void erase(const stream_session& session);

    /// @return Streams that are not delivered whole.
    [[nodiscard]] std::size_t open_streams() const noexcept;

    /// Calls a function with each session.
    template <class Visitor>
    void visit(Visitor&& visitor) const
    {
        for (const auto& [id, session] : sessions_)
        {
            visitor(*session);
        }
    }

private:
    std::unordered_map<std::string, std::shared_ptr<stream_session>> sessions_;
};

} // namespace hyssopdeal::coordination

#endif
