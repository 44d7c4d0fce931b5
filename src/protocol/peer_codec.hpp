#ifndef HYSSOPDEAL_SRC_PROTOCOL_PEER_CODEC_HPP
#define HYSSOPDEAL_SRC_PROTOCOL_PEER_CODEC_HPP

/// @file
/// Internal: frames, handshake messages and their proofs on peer links.
///
/// Index: [frame] [handshake] [frame_splitter]

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [frame] --------------------------------------------------------------------

/// Bytes of the length before each message, most significant first.
inline constexpr std::size_t length_bytes = 4;

/// Bytes that an envelope adds to its payload at most.
inline constexpr std::size_t envelope_bytes = 64;

/// Whether a frame asks or answers.
enum class frame_kind : std::uint8_t
{
    message,
    answer
};

/// One message of a link, decoded.
struct peer_message
{
    peer_channel channel = peer_channel::replication;
    std::uint64_t correlation = 0; ///< 0: no answer is awaited.
    frame_kind kind = frame_kind::message;
    std::string payload; ///< For the channel's module.
};

/// @return Bytes with their length in front.
[[nodiscard]] std::string with_length(std::string_view bytes);

/// @return The message as bytes with their length in front.
[[nodiscard]] std::string encode_message(const peer_message& message);

/// Reads a message without its length.
[[nodiscard]] transport::result<peer_message>
decode_message(std::string_view bytes);

// [handshake] ----------------------------------------------------------------

/// Largest message of a handshake.
inline constexpr std::size_t max_handshake_bytes = 512;

/// Which side of a link a process is.
enum class link_side : std::uint8_t
{
    dialler,
    listener
};

/// First message of each side.
struct peer_greeting
{
    std::string name;            ///< Of the sender.
    std::string challenge;       ///< Random bytes, never used again.
    bool answers_probes = false; ///< Older versions close a probed link.
};

/// @return A greeting with a fresh challenge.
[[nodiscard]] peer_greeting make_greeting(std::string name);

/// @return The greeting as bytes with their length in front.
[[nodiscard]] std::string encode_greeting(const peer_greeting& greeting);

/// Reads a greeting without its length.
[[nodiscard]] transport::result<peer_greeting>
decode_greeting(std::string_view bytes);

/// Computes what proves that the prover holds the key. It covers both
/// greetings and the prover's side, so that none can be reflected or reused.
///
/// @param side Side of the link that proves.
[[nodiscard]] std::string make_proof(std::string_view key, link_side side,
                                     const peer_greeting& dialler,
                                     const peer_greeting& listener);

/// @return The proof as bytes with their length in front.
[[nodiscard]] std::string encode_proof(std::string_view proof);

/// Reads a proof without its length.
[[nodiscard]] transport::result<std::string>
decode_proof(std::string_view bytes);

// [frame_splitter] -----------------------------------------------------------

/// Cuts a stream of bytes into the frames it holds.
class frame_splitter
{
public:
    explicit frame_splitter(std::size_t max_frame_bytes) noexcept;

    /// Changes the cap for the frames to come.
    void set_cap(std::size_t max_frame_bytes) noexcept;

    /// Adds bytes that were received.
    void feed(std::string_view bytes);

    /// @return The next whole frame, nothing when more bytes are needed, or
    ///     too_large when the frame's length is above the cap.
    [[nodiscard]] transport::result<std::optional<std::string>> next();

private:
    std::size_t cap_;
    std::string buffer_;
    std::size_t start_ = 0; // of the bytes not handed out yet
};

} // namespace hyssopdeal::protocol

#endif
