#include "cut_relay.hpp"

#include <array>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

namespace hyssopdeal::tests
{

using asio::ip::tcp;

namespace
{

constexpr std::size_t piece_bytes = 16'384;

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

/// Two sockets; what one receives the other sends.
struct relayed_pair : std::enable_shared_from_this<relayed_pair>
{
    explicit relayed_pair(tcp::socket from)
        : near(std::move(from)),
          far(near.get_executor())
    {}

    void start(std::uint16_t target)
    {
        asio::error_code error;
        far.connect(loopback(target), error);
        if (error)
        {
            close();
            return;
        }
        pass(near, far, out);
        pass(far, near, back);
    }

    void pass(tcp::socket& from, tcp::socket& to,
              std::array<char, piece_bytes>& piece)
    {
        from.async_read_some(
            asio::buffer(piece),
            [self = shared_from_this(), &from, &to,
             &piece](const asio::error_code& error, std::size_t size) {
                if (error)
                {
                    self->close();
                    return;
                }
                asio::async_write(
                    to, asio::buffer(piece.data(), size),
                    [self, &from, &to, &piece](const auto& failed, auto) {
                        failed ? self->close() : self->pass(from, to, piece);
                    });
            });
    }

    void close()
    {
        asio::error_code ignored;
        near.close(ignored);
        far.close(ignored);
    }

    tcp::socket near;
    tcp::socket far;
    std::array<char, piece_bytes> out{};
    std::array<char, piece_bytes> back{};
};

} // namespace

struct cut_relay::impl : std::enable_shared_from_this<cut_relay::impl>
{
    impl(asio::io_context& context, std::uint16_t to)
        : acceptor(context, loopback(0)),
          target(to)
    {}

    void accept()
    {
        acceptor.async_accept(
            [self = shared_from_this()](const asio::error_code& error,
                                        tcp::socket socket) {
                if (error)
                {
                    return;
                }
                auto pair = std::make_shared<relayed_pair>(std::move(socket));
                self->pairs.push_back(pair);
                pair->start(self->target);
                self->accept();
            });
    }

    tcp::acceptor acceptor;
    std::uint16_t target;
    std::vector<std::weak_ptr<relayed_pair>> pairs;
};

cut_relay::cut_relay(transport::event_loop& loop, std::uint16_t target)
    : impl_(std::make_shared<impl>(loop.context(), target))
{
    impl_->accept();
}

cut_relay::~cut_relay()
{
    cut();
}

std::uint16_t cut_relay::port() const noexcept
{
    return impl_->acceptor.local_endpoint().port();
}

void cut_relay::cut()
{
    asio::error_code ignored;
    impl_->acceptor.close(ignored);
    for (const auto& known : impl_->pairs)
    {
        if (const auto pair = known.lock())
        {
            pair->close();
        }
    }
}

} // namespace hyssopdeal::tests
