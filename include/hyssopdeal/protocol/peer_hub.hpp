#ifndef HYSSOPDEAL_PROTOCOL_PEER_HUB_HPP
#define HYSSOPDEAL_PROTOCOL_PEER_HUB_HPP

/// @file
/// Authenticated links between hyssopdeal's own processes: length-framed
/// Thrift messages over TCP.
///
/// Index: [peer_channel] [settings] [peer_hub] [metrics]
///
/// Both sides prove that they hold the shared key by an HMAC challenge before
/// the first message. Messages between two processes on one link keep their
/// order; a broken link is opened again at the next send.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/log_limit.hpp>

namespace hyssopdeal::protocol
{

// [peer_channel] -------------------------------------------------------------

/// Which module a message is for; the value is on the wire and never reused.
enum class peer_channel : std::uint8_t
{
    replication = 1, ///< Between control replicas: votes, appends, snapshots.
    learning = 2,    ///< Committed records to entries.
    ledger = 3,      ///< Claims and outcomes of idempotency keys.
    grants = 4,      ///< Limit grants.
    streams = 5,     ///< Copies, hand-over and resume of streams.
    operators = 6,   ///< Orders forwarded to the leader.
    reports = 7,     ///< Observations sent to the leader: versions, load.
    joining = 8,     ///< Replicas that find their cluster.
    following = 9,   ///< Entries and replicas: reports and orders.
    probing = 10     ///< Signs of life of the link itself.
};

// [settings] -----------------------------------------------------------------

/// Address, key and caps of a hub.
struct peer_hub_settings
{
    std::string self;                  ///< Name of this process to others.
    std::string address = "127.0.0.1"; ///< IP number to listen on.
    std::uint16_t port = 0;            ///< 0: the kernel picks one.
    std::string shared_key;            ///< Same on every process.
    std::size_t max_message_bytes = 8'388'608; ///< Larger closes the link.
    std::size_t max_queued_bytes = 33'554'432; ///< For each link.
    /// Accepted links that have not proved the key; the oldest is closed for a
    /// new one. At least 1.
    std::size_t max_unproved = 256;
    std::chrono::milliseconds connect_time_limit{500}; ///< TCP and handshake.
    /// Without an answer another connection is tried beside the first: above
    /// a round trip, below the second after which the kernel tries again.
    std::chrono::milliseconds connect_again_after{100};
    /// Without an acknowledgement from the kernel, or without an answer to a
    /// probe, for this long, a link is lost: a reading of the peer that takes
    /// longer misses every time limit of our calls.
    std::chrono::milliseconds silence_limit{2'000};
    /// A link that has sent and received nothing since for this long asks the
    /// other process for a sign of life: four times the usual pause between
    /// two reports. A dead link is thereby closed within the sum of the two.
    std::chrono::milliseconds probe_after{1'000};
    /// Slowest sending that still counts as progress: a fifth of the slowest
    /// network link in use, 10 Mbit/s.
    std::size_t slowest_bytes_per_s = 250'000;
    /// Counts links closed for bad input and bounds their log lines: anyone
    /// may connect. Hubs of one process share it.
    std::shared_ptr<transport::log_limit> bad_input =
        std::make_shared<transport::log_limit>();
};

// [peer_hub] -----------------------------------------------------------------

/// All links of one process, on one loop. Call it on the loop's thread.
class peer_hub
{
public:
    /// Gets a message and answers it through `reply` (may be called later, at
    /// most once; ignored for a message that was only sent).
    using reply_function = std::function<void(std::string payload)>;
    using message_handler = std::function<void(
        std::string from, std::string payload, reply_function reply)>;
    using answer_handler =
        std::function<void(transport::result<std::string> payload)>;

    peer_hub(transport::event_loop& loop, peer_hub_settings settings);
    peer_hub(const peer_hub&) = delete;
    peer_hub& operator=(const peer_hub&) = delete;
    ~peer_hub();

    /// Binds and starts to accept.
    ///
    /// @return The port in use, or why the address could not be bound.
    [[nodiscard]] transport::result<std::uint16_t> start();

    /// Tells where a peer listens; a changed address closes the old link.
    ///
    /// @param name The peer's name.
    /// @param address `IP:port`.
    void set_peer(std::string_view name, std::string_view address);

    /// Sets the handler of a channel; one for each channel.
    void on_message(peer_channel channel, message_handler handler);

    /// Sends a message and forgets it; lost if the link breaks.
    void send(std::string_view to, peer_channel channel, std::string payload);

    /// Sends a message and waits for its answer.
    ///
    /// @param time_limit From now to the answer.
    /// @param on_answer Called once: the answer, or a failure whose verdict is
    ///     not_run only if no byte of the message was written to a socket.
    void call(std::string_view to, peer_channel channel, std::string payload,
              std::chrono::milliseconds time_limit, answer_handler on_answer);

    /// @return Links that are open or being opened, of both sides.
    [[nodiscard]] std::size_t open_links() const;

    /// @return Links closed for bad input.
    [[nodiscard]] const transport::log_limit& bad_input() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// [metrics] ------------------------------------------------------------------

/// @return The counter of links closed for bad input, in the format of the
///     metrics address.
[[nodiscard]] std::string
bad_input_metrics(const transport::log_limit& bad_input);

} // namespace hyssopdeal::protocol

#endif
