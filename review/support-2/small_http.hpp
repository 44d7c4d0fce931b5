#ifndef HYSSOPDEAL_REVIEW_SMALL_HTTP_HPP
#define HYSSOPDEAL_REVIEW_SMALL_HTTP_HPP

/// @file
/// Blocking HTTP/1.1 on POSIX sockets, for the stand-ins of the review.

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace hyssopdeal::review
{

using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

/// An IP number with a port.
struct endpoint
{
    std::string ip;
    int port = 0;

    [[nodiscard]] std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

/// A request or an answer.
struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// @return The value of the first header with that name, in any case.
    [[nodiscard]] std::string header(const std::string& name) const;

    /// @return The first line's word with that number, from 0.
    [[nodiscard]] std::string word(int number) const;

    /// @return Of an answer; 0: unreadable.
    [[nodiscard]] int status() const;
};

/// A file descriptor that is closed at the end of its life.
class socket_handle
{
public:
    explicit socket_handle(int number = -1) noexcept
        : number_(number)
    {}

    socket_handle(socket_handle&& other) noexcept
        : number_(std::exchange(other.number_, -1))
    {}

    socket_handle& operator=(socket_handle&& other) noexcept;
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;

    ~socket_handle();

    [[nodiscard]] int number() const noexcept
    {
        return number_;
    }

    [[nodiscard]] bool open() const noexcept
    {
        return number_ >= 0;
    }

private:
    int number_;
};

/// How reading a message ended.
enum class read_end
{
    whole,
    closed,   ///< By the other side, in good order, before a whole message.
    reset,    ///< By the other side.
    late,     ///< The time ran out.
    malformed ///< The bytes are no message.
};

/// @return The text of a read_end.
const char* name_of(read_end end);

/// A connection with the bytes that were read ahead.
class connection
{
public:
    explicit connection(socket_handle socket) noexcept
        : socket_(std::move(socket))
    {}

    [[nodiscard]] bool open() const noexcept
    {
        return socket_.open();
    }

    bool send(const std::string& bytes) const;

    /// @param bodyless The message has no body, whatever its headers say.
    read_end read(message& into, time_point until, bool bodyless = false);

    /// Reads bytes that belong to no message until then.
    std::string read_rest(time_point until);

private:
    std::optional<read_end> read_some(time_point until);

    socket_handle socket_;
    std::string ahead_;
};

/// @return Not open if there is none in time.
socket_handle connect_to(const endpoint& to, milliseconds time_limit);

/// @param port 0: any free one.
/// @return The listener and its port; not open: failed.
std::pair<socket_handle, int> listen_on(const std::string& ip, int port);

std::string
write_answer(int status,
             const std::vector<std::pair<std::string, std::string>>& headers,
             const std::string& body);

/// Sends one request on a new connection.
///
/// @return Nothing without a whole answer.
std::optional<message> ask(const endpoint& to, const std::string& request,
                           milliseconds time_limit);

/// Accepts connections and gives each one a thread.
class listener
{
public:
    using handler = std::function<void(connection)>;

    listener(const std::string& ip, const handler& on_connection);

    [[nodiscard]] const endpoint& address() const noexcept
    {
        return address_;
    }

private:
    endpoint address_;
    std::jthread accepting_;
};

} // namespace hyssopdeal::review

#endif
