/// @file
/// A slow backend server on plain sockets.

#include "slow_server.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>

#include <fmt/format.h>

#include "platform/counterpart.hpp"

namespace hyssopdeal::tests
{

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

// [client] -------------------------------------------------------------------

bool wait_for(const std::function<bool()>& done)
{
    const auto end = steady::now() + crowd_time_limit;
    while (!done() && steady::now() < end)
    {
        std::this_thread::sleep_for(20ms);
    }
    return done();
}

void send_all(int file, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto sent =
            ::send(file, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

std::string read_all(int file, std::size_t most_at_once,
                     std::chrono::milliseconds pause)
{
    std::string all;
    std::string in(most_at_once, '\0');
    const auto limit = std::chrono::milliseconds{crowd_time_limit}.count();
    pollfd wait{file, POLLIN, 0};
    while (::poll(&wait, 1, static_cast<int>(limit)) == 1)
    {
        const auto length = ::recv(file, in.data(), in.size(), 0);
        if (length <= 0)
        {
            break;
        }
        all.append(in, 0, static_cast<std::size_t>(length));
        std::this_thread::sleep_for(pause);
    }
    ::close(file);
    return all;
}

std::string response_to(const target& with, const std::string& request)
{
    const int file = connect_to(with);
    if (file < 0)
    {
        return {};
    }
    send_all(file, request);
    return read_all(file, small_buffer, 0ms);
}

// [slow_server] --------------------------------------------------------------

namespace
{

std::string header_of(const std::string& head, const std::string& name)
{
    const auto key = "\r\n" + name + ": ";
    const auto at = head.find(key);
    return at == std::string::npos
               ? std::string{}
               : head.substr(at + key.size(),
                             head.find("\r\n", at + 2) - at - key.size());
}

} // namespace

slow_server::slow_server(const target& at)
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int yes = 1;
    const int buffer = small_buffer;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    // Connections take it over; the kernel reads little ahead.
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    bind_to(listener_, at);
    ::listen(listener_, SOMAXCONN);
    accepting_ = std::thread{[this] { accept(); }};
}

slow_server::~slow_server()
{
    ended_ = true;
    accepting_.join();
    for (auto& one : serving_)
    {
        one.join();
    }
    ::close(listener_);
}

void slow_server::accept()
{
    while (!ended_)
    {
        pollfd wait{listener_, POLLIN, 0};
        const int file = ::poll(&wait, 1, 20) == 1
                             ? ::accept(listener_, nullptr, nullptr)
                             : -1;
        if (file >= 0)
        {
            serving_.emplace_back([this, file] { serve(file); });
        }
    }
}

// Appends what comes; false at the end of the connection.
bool slow_server::read(int file, std::string& into)
{
    char in[16'384];
    while (!ended_)
    {
        pollfd wait{file, POLLIN, 0};
        if (::poll(&wait, 1, 20) == 1)
        {
            const auto length = ::recv(file, in, sizeof(in), 0);
            into.append(in, length > 0 ? static_cast<std::size_t>(length) : 0);
            return length > 0;
        }
    }
    return false;
}

void slow_server::serve(int file)
{
    std::string bytes;
    while (serve_one(file, bytes))
    {}
    ::close(file);
}

bool slow_server::serve_one(int file, std::string& bytes)
{
    while (bytes.find("\r\n\r\n") == std::string::npos)
    {
        if (!read(file, bytes))
        {
            return false;
        }
    }
    const auto head = bytes.substr(0, bytes.find("\r\n\r\n") + 4);
    bytes.erase(0, head.size());
    const auto stated = header_of(head, "Content-Length");
    std::size_t length = 0;
    std::from_chars(stated.data(), stated.data() + stated.size(), length);
    const bool large = length > small_buffer;
    begun_ += large ? 1 : 0;
    while (bytes.size() < length)
    {
        while (large && held_ && !ended_)
        {
            std::this_thread::sleep_for(5ms);
        }
        std::this_thread::sleep_for(large ? 5ms : 0ms);
        if (!read(file, bytes))
        {
            return false;
        }
    }
    const auto body = bytes.substr(0, length);
    bytes.erase(0, length);
    whole_ += large && body.find_first_not_of('x') == std::string::npos;
    respond(file, head);
    return true;
}

void slow_server::respond(int file, const std::string& head)
{
    const auto id = header_of(head, "X-Attempt-Id");
    const auto target = head.substr(0, head.find(" HTTP/"));
    const std::string body(target.ends_with("large") ? large_response : 2, 'y');
    std::string out = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : platform::answer_headers(id))
    {
        out += fmt::format("{}: {}\r\n", name, value);
    }
    send_all(file, fmt::format("{}Content-Length: {}\r\n\r\n{}", out,
                               body.size(), body));
}

} // namespace hyssopdeal::tests
