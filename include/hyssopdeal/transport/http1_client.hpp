#ifndef HYSSOPDEAL_TRANSPORT_HTTP1_CLIENT_HPP
#define HYSSOPDEAL_TRANSPORT_HTTP1_CLIENT_HPP

/// @file
/// HTTP/1.1 client for servers that cannot be trusted to keep the protocol: an
/// answer that belongs to an earlier request can be skipped, bytes that no
/// request asked for end their connection, and a connection is used again only
/// after an answer without any doubt.
///
/// Index: [address] [settings] [handlers] [http1_call] [http1_client]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::transport
{

// [address] ------------------------------------------------------------------

/// @return Whether a text is an IP number and a port, as `IP:port`, to which
///     can be connected.
[[nodiscard]] bool is_address(std::string_view text);

// [settings] -----------------------------------------------------------------

/// Times and caps of all calls of a client.
struct http1_client_settings
{
    std::size_t max_head_bytes = 65'536;
    std::size_t max_idle_for_each = 32; ///< Idle connections to one server.
    std::chrono::milliseconds max_idle{4'000}; ///< Below usual servers' limit;
                                               ///< of one that tells none.
    std::chrono::milliseconds longest_idle{15'000}; ///< Of one that tells more.
    /// Sent and not acknowledged, or silent, for this long: the connection is
    /// lost. Below the gap after which callers give up a stream.
    std::chrono::milliseconds silence_limit{1'500};
    /// Address from which servers are connected to; empty: chosen by the
    /// kernel.
    std::string source_address;
    std::string relay_key; ///< Shared key of the relays; see tcp_relay.
};

/// Limits of one call.
struct http1_call_settings
{
    /// Connections that were idle for longer are not used for this call: the
    /// server may be closing them at this moment.
    std::chrono::milliseconds max_idle{15'000};
    /// Many times a round trip within a region; a lost packet is not waited
    /// for, as another server can be tried.
    std::chrono::milliseconds connect_time_limit{250};
    std::size_t max_body_bytes = 0; ///< A longer answer ends the call; 0: none.
    /// `IP:port` of the relay through which to connect; empty: none.
    std::string relay;
    /// For check_path(): the start of the relay's process that has to run
    /// still; nothing: that of any.
    std::optional<std::string> relay_start{};
    /// Sent in place of the request's own body, without a copy; null: that one.
    std::shared_ptr<const std::string> body{};
    /// Whether another call may use the connection afterwards. Not if that call
    /// could take a second, late answer to this one for its own.
    bool keep_connection = true;
};

// [handlers] -----------------------------------------------------------------

/// What to do with an answer whose head has come.
enum class head_choice : std::uint8_t
{
    take,  ///< It answers this call.
    skip,  ///< It answers an earlier call: read past it.
    reject ///< It cannot be trusted: end the call as a broken answer.
};

/// Judges an answer by its status and headers.
using head_filter =
    std::function<head_choice(int status, const std::vector<http_header>&)>;

/// How a call ended.
struct http1_call_end
{
    bool complete = false; ///< The answer was read to its proper end.
    failure error; ///< Only when not complete. Its verdict is not_run only if
                   ///< no byte was handed to a connection.
    /// The answer had no length and ended with its connection. The kernel of a
    /// server or relay that was killed closes its connections in the same way:
    /// check_path() tells.
    bool ended_by_close = false;
    /// The relay was not reached or refused; nothing is known of the server.
    bool relay_failed = false;
    /// Which start of the relay's process carried the call, empty if it did not
    /// tell; nothing without a relay.
    std::optional<std::string> relay_start{};
};

/// Called on the loop's thread; on_end comes last and exactly once, unless the
/// call was cancelled. None is called before start() has returned.
struct http1_call_handlers
{
    head_filter on_head;
    std::function<void(std::string_view piece)> on_data;
    std::function<void(http1_call_end)> on_end;
};

/// Limits and path of a call that collects its answer.
struct http1_fetch_settings
{
    std::chrono::milliseconds time_limit{0}; ///< From now to the answer's end.
    std::string relay{};                     ///< As for a call.
    /// Whether an answer is this call's; empty: any is.
    head_filter on_head{};
    /// Whether an answer without a length is whole.
    end_proof proves_end = has_whole_json;
    bool keep_connection = true; ///< As for a call.
};

// [http1_call] ---------------------------------------------------------------

/// Owns a running call; destroying it cancels the call and closes its
/// connection.
class http1_call
{
public:
    struct impl;

    http1_call() noexcept;
    explicit http1_call(std::shared_ptr<impl> state) noexcept;
    http1_call(http1_call&&) noexcept;
    http1_call& operator=(http1_call&&) noexcept;
    ~http1_call();

    /// Stops the call; no handler is called afterwards.
    void cancel() noexcept;

    /// Ends the call as timed out when it takes longer, from now on.
    void limit(event_loop& loop, std::chrono::milliseconds time_limit);

private:
    std::shared_ptr<impl> state_;
};

// [http1_client] -------------------------------------------------------------

/// Pools connections for the calls of one loop.
class http1_client
{
public:
    struct impl;

    http1_client(event_loop& loop, const clock& time,
                 http1_client_settings settings);
    http1_client(const http1_client&) = delete;
    http1_client& operator=(const http1_client&) = delete;
    ~http1_client();

    /// Starts a call.
    ///
    /// @param address `IP:port` of the server.
    [[nodiscard]] http1_call start(std::string_view address,
                                   const http_request& request,
                                   const http1_call_settings& settings,
                                   http1_call_handlers handlers);

    /// Sends a request and collects the whole answer. One that ended with its
    /// connection, without a proof that it is whole, counts as lost.
    ///
    /// @param on_answer Gets the answer, or a failure with its verdict.
    [[nodiscard]] http1_call
    fetch(std::string_view address, const http_request& request,
          const http1_fetch_settings& settings,
          const std::function<void(result<http_response>)>& on_answer);

    /// @param max_idle As for a call.
    /// @param relay As for a call.
    /// @return Whether a call would find a connection that is open already.
    [[nodiscard]] bool keeps(std::string_view address,
                             std::chrono::milliseconds max_idle,
                             std::string_view relay = {}) const;

    /// Connects to a server and keeps the connection for a later call.
    ///
    /// @param on_end Gets whether the server was reached.
    void probe(const std::string& address, std::chrono::milliseconds time_limit,
               std::function<void(bool reached)> on_end);

    /// Tells whether the processes at the ends of a path still run, after one of
    /// them closed a connection: by a new one that stays open for a moment, and
    /// is kept for a later call.
    ///
    /// @param settings As of the call whose connection was closed, with the
    ///     relay_start that it ended with.
    /// @param on_end Gets the result; false also when the path is cut.
    void check_path(const std::string& address,
                    const http1_call_settings& settings,
                    std::function<void(bool runs)> on_end);

    /// Closes the idle connections to a server that is gone, also relayed ones.
    void forget(const std::string& address);

    /// Closes the idle connections through a relay.
    void forget_relay(const std::string& relay);

    /// @return Connections opened since the start.
    [[nodiscard]] std::uint64_t connections_opened() const noexcept;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace hyssopdeal::transport

#endif
