#ifndef HYSSOPDEAL_SRC_COORDINATION_STREAM_EXCHANGE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_STREAM_EXCHANGE_HPP

/// @file
/// Internal: streams between entry instances over the channel `streams`.
///
/// Index: [stream_exchange] [stream_peers]

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/holder_choice.hpp>
#include <hyssopdeal/coordination/stream_copies.hpp>
#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>

#include "stream_wire.hpp"

namespace hyssopdeal::coordination
{

struct entry_shard;

// [stream_exchange] ----------------------------------------------------------

/// Holds other instances' copies and answers their questions; one for each
/// process, on the loop of its listening hub.
class stream_exchange
{
public:
    stream_exchange(transport::event_loop& loop, const transport::clock& clock,
                    protocol::peer_hub& hub,
                    stream_copies_settings settings = {});
    stream_exchange(const stream_exchange&) = delete;
    stream_exchange& operator=(const stream_exchange&) = delete;
    ~stream_exchange();

    /// @return The copies held now.
    [[nodiscard]] const stream_copies& copies() const noexcept;

private:
    [[nodiscard]] transport::result<stream_answer>
    answer(const stream_question& question);
    [[nodiscard]] transport::result<stream_answer>
    hold(const stream_question& question);
    void expire();
    void cancel(const stream_copy& abandoned);

    transport::event_loop& loop_;
    const transport::clock& clock_;
    transport::http_client client_;
    stream_copies copies_;
    transport::timer_handle timer_;
};

// [stream_peers] -------------------------------------------------------------

/// Asks another instance; on a shard's thread.
///
/// @param on_answer Called once on the shard's loop.
void ask_about_stream(
    entry_shard& shard, const std::string& instance,
    const stream_question& question,
    std::function<void(transport::result<stream_answer>)> on_answer);

/// @return The entry instances that this shard may ask, itself among them;
///     empty when the process is not linked to others.
[[nodiscard]] std::vector<entry_member> entry_members(entry_shard& shard);

/// Looks for the newest copy of a stream and takes it over.
///
/// @param owner Name of the session that will own it.
/// @param on_copy Called once on the shard's loop.
void take_stream_over(
    entry_shard& shard, const std::string& stream,
    const std::string& organisation, const std::string& owner,
    std::function<void(transport::result<stream_copy>)> on_copy);

} // namespace hyssopdeal::coordination

#endif
