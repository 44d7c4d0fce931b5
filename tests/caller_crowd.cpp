#include "caller_crowd.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <thread>

#include <fmt/format.h>

namespace hyssopdeal::tests
{

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

// [clients] ------------------------------------------------------------------

namespace
{

sockaddr_in name_of(const target& one)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(one.port);
    ::inet_pton(AF_INET, one.address.c_str(), &name.sin_addr);
    return name;
}

} // namespace

void bind_to(int file, const target& at)
{
    const auto name = name_of(at);
    (void)::bind(file, reinterpret_cast<const sockaddr*>(&name), sizeof(name));
}

int connect_to(const target& to, int receive_buffer)
{
    const int file = ::socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer > 0)
    {
        ::setsockopt(file, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof(receive_buffer));
    }
    const auto name = name_of(to);
    if (::connect(file, reinterpret_cast<const sockaddr*>(&name),
                  sizeof(name)) != 0)
    {
        ::close(file);
        return -1;
    }
    return file;
}

crowd::crowd(const target& to, const script& plan)
    : to_(to),
      plan_(plan)
{
    bytes_ = plan.head;
    for (std::size_t at = 0; at < plan.repeats; ++at)
    {
        bytes_ += plan.unit;
    }
    for (std::size_t at = 0; at < plan.clients; ++at)
    {
        const int file = connect_to(to);
        if (file >= 0)
        {
            ::fcntl(file, F_SETFL, O_NONBLOCK);
            clients_.push_back({file, 0});
        }
    }
}

crowd::~crowd()
{
    for (const auto& one : clients_)
    {
        ::close(one.file);
    }
}

void crowd::run()
{
    constexpr auto rest = 500ms;
    constexpr auto returning_time = 3s;
    const auto end =
        steady::now() + (plan_.returns ? returning_time : crowd_time_limit);
    auto latest = steady::now();
    while (steady::now() < (plan_.returns ? end : std::min(end, latest + rest)))
    {
        bool moved = false;
        for (auto& one : clients_)
        {
            moved = step(one) || moved;
            if (plan_.returns)
            {
                return_if_closed(one);
            }
        }
        if (moved)
        {
            latest = steady::now();
        }
        else
        {
            std::this_thread::sleep_for(1ms);
        }
    }
}

void crowd::return_if_closed(client& one)
{
    char in[1];
    const auto length =
        ::recv(one.file, in, sizeof(in), MSG_PEEK | MSG_DONTWAIT);
    if (length > 0 || (length < 0 && errno == EAGAIN))
    {
        return;
    }
    ::close(one.file);
    one = {connect_to(to_), 0};
    ::fcntl(one.file, F_SETFL, O_NONBLOCK);
}

bool crowd::step(client& one)
{
    bool moved = false;
    char in[4'096];
    if (plan_.reads)
    {
        moved = ::recv(one.file, in, sizeof(in), 0) > 0;
    }
    const auto length = std::min(plan_.piece, bytes_.size() - one.sent);
    const auto sent = length == 0 ? 0
                                  : ::send(one.file, bytes_.data() + one.sent,
                                           length, MSG_NOSIGNAL);
    one.sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    return moved || sent > 0;
}

std::string answer_to(const target& to, const std::string& path)
{
    const auto end = steady::now() + crowd_time_limit;
    std::string answer;
    while (answer.empty() && steady::now() < end)
    {
        const int file = connect_to(to);
        const auto request =
            fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n"
                        "Connection: close\r\n\r\n",
                        path);
        (void)::send(file, request.data(), request.size(), MSG_NOSIGNAL);
        pollfd wait{file, POLLIN, 0};
        char in[4'096];
        if (file >= 0 && ::poll(&wait, 1, 5'000) == 1)
        {
            const auto length = ::recv(file, in, sizeof(in), 0);
            answer.assign(in,
                          length > 0 ? static_cast<std::size_t>(length) : 0);
        }
        ::close(file);
        std::this_thread::sleep_for(20ms);
    }
    return answer;
}

// [process] ------------------------------------------------------------------

std::string own_address(int second_number)
{
    return fmt::format("127.{}.{}.{}", second_number, ::getpid() / 250 % 250,
                       1 + ::getpid() % 250);
}

std::size_t peak_memory_mb(int id)
{
    std::ifstream file{fmt::format("/proc/{}/status", id)};
    std::string word;
    std::size_t kb = 0;
    while (file >> word)
    {
        if (word == "VmHWM:")
        {
            file >> kb;
        }
    }
    return kb / 1'024;
}

std::size_t descriptors_of(int id)
{
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator
             at{fmt::format("/proc/{}/fd", id), error},
         end;
         !error && at != end; at.increment(error))
    {
        ++count;
    }
    return count;
}

} // namespace hyssopdeal::tests
