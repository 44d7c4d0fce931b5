/// @file
/// Blocking HTTP/1.1 on POSIX sockets.

#include "small_http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <memory>
#include <sstream>

namespace hyssopdeal::review
{

namespace
{

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

sockaddr_in native(const endpoint& from)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(from.port));
    inet_pton(AF_INET, from.ip.c_str(), &to.sin_addr);
    return to;
}

int left_ms(time_point until)
{
    const auto left = std::chrono::ceil<milliseconds>(
        until - std::chrono::steady_clock::now());
    return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

bool wait_for(int socket, short what, time_point until)
{
    pollfd one{socket, what, 0};
    return ::poll(&one, 1, left_ms(until)) > 0;
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? ""
                                      : text.substr(first, last - first + 1);
}

message read_head(const std::string& head)
{
    message out;
    std::istringstream lines{head};
    std::string line;
    std::getline(lines, line);
    out.first_line = trimmed(line);
    while (std::getline(lines, line) && !trimmed(line).empty())
    {
        const auto colon = std::min(line.find(':'), line.size() - 1);
        out.headers.emplace_back(line.substr(0, colon),
                                 trimmed(line.substr(colon + 1)));
    }
    return out;
}

} // namespace

// [message] ------------------------------------------------------------------

std::string message::header(const std::string& name) const
{
    const auto found =
        std::find_if(headers.begin(), headers.end(), [&](const auto& item) {
            return lower(item.first) == lower(name);
        });
    return found == headers.end() ? "" : found->second;
}

std::string message::word(int number) const
{
    std::istringstream words{first_line};
    std::string word;
    for (int at = 0; at <= number; ++at)
    {
        word.clear();
        words >> word;
    }
    return word;
}

int message::status() const
{
    return first_line.starts_with("HTTP/1.") ? std::atoi(word(1).c_str()) : 0;
}

// [socket_handle] ------------------------------------------------------------

socket_handle& socket_handle::operator=(socket_handle&& other) noexcept
{
    std::swap(number_, other.number_);
    return *this;
}

socket_handle::~socket_handle()
{
    if (number_ >= 0)
    {
        ::close(number_);
    }
}

const char* name_of(read_end end)
{
    switch (end)
    {
    case read_end::whole:
        return "whole";
    case read_end::closed:
        return "closed";
    case read_end::reset:
        return "reset";
    case read_end::late:
        return "late";
    case read_end::malformed:
        return "malformed";
    }
    return "";
}

// [connection] ---------------------------------------------------------------

bool connection::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto length = ::send(socket_.number(), bytes.data() + sent,
                                   bytes.size() - sent, MSG_NOSIGNAL);
        if (length <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(length);
    }
    return true;
}

std::optional<read_end> connection::read_some(time_point until)
{
    if (!wait_for(socket_.number(), POLLIN, until))
    {
        return read_end::late;
    }
    std::array<char, 16'384> bytes{};
    const auto length = ::recv(socket_.number(), bytes.data(), bytes.size(), 0);
    if (length <= 0)
    {
        return length == 0 ? read_end::closed : read_end::reset;
    }
    ahead_.append(bytes.data(), static_cast<std::size_t>(length));
    return std::nullopt;
}

read_end connection::read(message& into, time_point until, bool bodyless)
{
    std::size_t end = 0;
    while ((end = ahead_.find("\r\n\r\n")) == std::string::npos)
    {
        if (const auto ended = read_some(until))
        {
            return *ended;
        }
    }
    into = read_head(ahead_.substr(0, end + 2));
    ahead_.erase(0, end + 4);
    if (into.first_line.find("HTTP/1.") == std::string::npos)
    {
        return read_end::malformed;
    }
    const auto size = bodyless ? 0
                               : static_cast<std::size_t>(std::atoll(
                                     into.header("Content-Length").c_str()));
    while (ahead_.size() < size)
    {
        if (const auto ended = read_some(until))
        {
            return *ended;
        }
    }
    into.body = ahead_.substr(0, size);
    ahead_.erase(0, size);
    return read_end::whole;
}

std::string connection::read_rest(time_point until)
{
    while (!read_some(until))
    {}
    return std::exchange(ahead_, {});
}

// [sockets] ------------------------------------------------------------------

socket_handle connect_to(const endpoint& to, milliseconds time_limit)
{
    const auto until = std::chrono::steady_clock::now() + time_limit;
    socket_handle made{
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    const auto address = native(to);
    const int done =
        ::connect(made.number(), reinterpret_cast<const sockaddr*>(&address),
                  sizeof address);
    if (done != 0 && errno != EINPROGRESS)
    {
        return socket_handle{};
    }
    int error = 0;
    socklen_t size = sizeof error;
    if (!wait_for(made.number(), POLLOUT, until) ||
        ::getsockopt(made.number(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0)
    {
        return socket_handle{};
    }
    ::fcntl(made.number(), F_SETFL, 0);
    const int on = 1;
    ::setsockopt(made.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

std::pair<socket_handle, int> listen_on(const std::string& ip, int port)
{
    constexpr int backlog = 512;
    socket_handle made{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const int on = 1;
    ::setsockopt(made.number(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = native({ip, port});
    socklen_t size = sizeof address;
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(made.number(), generic, size) != 0 ||
        ::listen(made.number(), backlog) != 0 ||
        ::getsockname(made.number(), generic, &size) != 0)
    {
        return {socket_handle{}, 0};
    }
    return {std::move(made), ntohs(address.sin_port)};
}

std::string
write_answer(int status,
             const std::vector<std::pair<std::string, std::string>>& headers,
             const std::string& body)
{
    auto out = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto& [name, value] : headers)
    {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::optional<message> ask(const endpoint& to, const std::string& request,
                           milliseconds time_limit)
{
    const auto until = std::chrono::steady_clock::now() + time_limit;
    connection made{connect_to(to, time_limit)};
    message answer;
    const bool whole = made.open() && made.send(request) &&
                       made.read(answer, until) == read_end::whole;
    return whole ? std::optional{answer} : std::nullopt;
}

// [listener] -----------------------------------------------------------------

listener::listener(const std::string& ip, const handler& on_connection)
{
    auto made = listen_on(ip, 0);
    address_ = {ip, made.second};
    auto socket = std::make_shared<socket_handle>(std::move(made.first));
    accepting_ = std::jthread{[socket,
                               on_connection](const std::stop_token& stop) {
        constexpr milliseconds look_interval{100};
        while (!stop.stop_requested())
        {
            if (!wait_for(socket->number(), POLLIN,
                          std::chrono::steady_clock::now() + look_interval))
            {
                continue;
            }
            socket_handle taken{
                ::accept4(socket->number(), nullptr, nullptr, SOCK_CLOEXEC)};
            if (taken.open())
            {
                const int on = 1;
                ::setsockopt(taken.number(), IPPROTO_TCP, TCP_NODELAY, &on,
                             sizeof on);
                std::thread{[on_connection, one = std::make_shared<connection>(
                                                connection{std::move(taken)})] {
                    on_connection(std::move(*one));
                }}.detach();
            }
        }
    }};
}

} // namespace hyssopdeal::review
