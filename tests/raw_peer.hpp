#ifndef HYSSOPDEAL_TESTS_RAW_PEER_HPP
#define HYSSOPDEAL_TESTS_RAW_PEER_HPP

/// @file
/// Both ends of plain TCP for tests of HTTP: a listener whose connections the
/// test scripts byte by byte, and a caller that sends bytes in pieces. All on
/// the loop of the test.
///
/// Index: [raw_connection] [raw_listener] [silent_listener] [raw_caller]

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::tests
{

// [raw_connection] -----------------------------------------------------------

/// One accepted or opened connection.
class raw_connection : public std::enable_shared_from_this<raw_connection>
{
public:
    explicit raw_connection(asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {}

    void read()
    {
        socket_.async_read_some(
            asio::buffer(in_),
            [self = shared_from_this()](const auto& error, std::size_t length) {
                if (error)
                {
                    self->closed = true;
                    self->was_reset = error == asio::error::connection_reset;
                    return;
                }
                self->received.append(self->in_.data(), length);
                if (self->on_bytes)
                {
                    self->on_bytes(*self);
                }
                self->read();
            });
    }

    void send(std::string_view bytes)
    {
        asio::error_code error;
        asio::write(socket_, asio::buffer(bytes), error);
    }

    /// Closes in good order.
    void close()
    {
        asio::error_code error;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_both, error);
        socket_.close(error);
    }

    /// Closes with a reset.
    void reset()
    {
        asio::error_code error;
        socket_.set_option(asio::socket_base::linger{true, 0}, error);
        socket_.close(error);
    }

    [[nodiscard]] asio::ip::tcp::socket& socket()
    {
        return socket_;
    }

    std::string received;
    bool closed = false;
    bool was_reset = false;
    std::function<void(raw_connection&)> on_bytes;

private:
    asio::ip::tcp::socket socket_;
    std::array<char, 4'096> in_{};
};

// [raw_listener] -------------------------------------------------------------

/// Accepts and hands connections to the test.
class raw_listener
{
public:
    using handler = std::function<void(raw_connection&)>;

    raw_listener(transport::event_loop& loop, handler on_bytes)
        : on_bytes_(std::move(on_bytes)),
          acceptor_(loop.context(), {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port());
    }

    /// Refuses further connections, like a process that has ended.
    void stop()
    {
        asio::error_code error;
        acceptor_.close(error);
    }

    std::vector<std::shared_ptr<raw_connection>> connections;

private:
    void accept()
    {
        acceptor_.async_accept([this](const auto& error, auto socket) {
            if (error)
            {
                return;
            }
            auto made = std::make_shared<raw_connection>(std::move(socket));
            made->on_bytes = on_bytes_;
            connections.push_back(made);
            made->read();
            accept();
        });
    }

    handler on_bytes_;
    asio::ip::tcp::acceptor acceptor_;
};

// [silent_listener] ----------------------------------------------------------

/// Neither accepts nor refuses connections, like an instance without power.
class silent_listener
{
public:
    explicit silent_listener(transport::event_loop& loop)
        : acceptor_(loop.context())
    {
        acceptor_.open(asio::ip::tcp::v4());
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen(0);
        // With a full queue the kernel answers no further connection.
        for (int count = 0; count < 4; ++count)
        {
            waiting_.emplace_back(loop.context());
            waiting_.back().async_connect(acceptor_.local_endpoint(),
                                          [](const auto&) {});
        }
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    asio::ip::tcp::acceptor acceptor_;
    std::vector<asio::ip::tcp::socket> waiting_;
};

// [raw_caller] ---------------------------------------------------------------

/// Connects to a port of this machine, by default at 127.0.0.1.
inline std::shared_ptr<raw_connection>
raw_call(transport::event_loop& loop, std::uint16_t port,
         const std::string& address = "127.0.0.1")
{
    asio::ip::tcp::socket socket{loop.context()};
    socket.connect({asio::ip::make_address(address), port});
    auto made = std::make_shared<raw_connection>(std::move(socket));
    made->read();
    return made;
}

} // namespace hyssopdeal::tests

#endif
