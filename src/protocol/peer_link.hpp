#ifndef HYSSOPDEAL_SRC_PROTOCOL_PEER_LINK_HPP
#define HYSSOPDEAL_SRC_PROTOCOL_PEER_LINK_HPP

/// @file
/// Internal: one TCP link between two processes, from its handshake to its
/// end. The hub keeps the links and the calls that wait on them.
///
/// Index: [handlers] [peer_link]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "peer_codec.hpp"

namespace hyssopdeal::protocol
{

// [handlers] -----------------------------------------------------------------

class peer_link;

/// What a link tells its owner.
struct peer_link_handlers
{
    /// A message or an answer came.
    std::function<void(peer_link& link, peer_message message)> on_message;

    /// The link is closed; called once.
    std::function<void(peer_link& link)> on_closed;
};

// [peer_link] ----------------------------------------------------------------

/// Sends and receives messages once both sides have proved the key. Messages
/// may be queued before that. Used on the loop's thread.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    /// @param peer Name that the other side must have; empty: any.
    peer_link(asio::ip::tcp::socket socket, const peer_hub_settings& settings,
              link_side side, std::string peer, peer_link_handlers handlers);

    /// Connects, then shakes hands.
    void dial(const asio::ip::tcp::endpoint& endpoint);

    /// Shakes hands on a connection that was accepted.
    void accept();

    /// Queues a message.
    ///
    /// @return Whether there was room for it.
    bool send(const peer_message& message);

    /// Takes back a message whose first byte has not been handed to the
    /// socket.
    ///
    /// @return Whether it was still there.
    bool withdraw(std::uint64_t correlation);

    /// @return Whether a message still waits, so that no byte of it has left.
    [[nodiscard]] bool is_queued(std::uint64_t correlation) const;

    /// Closes the link; on_closed is called.
    void close();

    /// @return Whether both sides have proved the key.
    [[nodiscard]] bool proved() const noexcept
    {
        return stage_ == stage::open;
    }

    /// @return The other side's name, empty before its greeting.
    [[nodiscard]] const std::string& peer() const noexcept;

private:
    enum class stage
    {
        greeting,
        proving,
        open,
        closed
    };

    struct outgoing
    {
        std::string bytes;
        std::uint64_t correlation = 0;
        bool wants_sign = true; // that the other process reads
    };

    void try_connect(const asio::ip::tcp::endpoint& endpoint);
    void drop_attempts();
    void start_handshake();
    void read();
    void take(std::string_view bytes);
    [[nodiscard]] bool take_frame(const std::string& frame);
    [[nodiscard]] bool take_greeting(const std::string& frame);
    [[nodiscard]] bool take_proof(const std::string& frame);
    [[nodiscard]] bool take_message(const std::string& frame);
    [[nodiscard]] std::string proof_of(link_side side) const;
    void write(std::string bytes, bool wants_sign = true);
    void flush();
    void fill_batch();
    void set_deadline();
    void expect_sign_of_life(std::size_t bytes);
    void watch_for(std::chrono::milliseconds pause);
    void on_watch();
    [[nodiscard]] std::chrono::milliseconds silence_allowed() const;

    asio::ip::tcp::socket socket_;
    asio::steady_timer deadline_;
    asio::steady_timer next_attempt_;
    asio::steady_timer watch_;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> attempts_; // to connect
    peer_hub_settings settings_;
    link_side side_;
    std::string peer_;
    peer_link_handlers handlers_;
    stage stage_ = stage::greeting;
    peer_greeting own_;
    peer_greeting theirs_;
    frame_splitter splitter_{max_handshake_bytes};
    std::vector<char> read_buffer_;
    std::deque<outgoing> handshake_; // goes before the queue
    std::deque<outgoing> queue_;     // no byte of these has left
    std::vector<outgoing> writing_;  // handed to the socket
    std::size_t queued_bytes_ = 0;   // of both
    std::size_t unheard_bytes_ = 0;  // written since the last byte received
    bool watching_ = false;
    bool probed_ = false; // and nothing received since
};

} // namespace hyssopdeal::protocol

#endif
