#include "free_ports.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

namespace hyssopdeal::standins
{

transport::result<std::vector<std::uint16_t>> free_ports(std::size_t count)
{
    constexpr std::size_t max_tries = 1'000;
    const auto loopback = asio::ip::address_v4::loopback();
    asio::io_context context;
    std::vector<asio::ip::tcp::acceptor> streams;
    std::vector<asio::ip::udp::socket> datagrams;
    std::vector<std::uint16_t> ports;
    for (std::size_t tries = 0; tries < max_tries && ports.size() < count;
         ++tries)
    {
        asio::error_code error;
        asio::ip::tcp::acceptor stream(context);
        asio::ip::udp::socket datagram(context, asio::ip::udp::v4());
        stream.open(asio::ip::tcp::v4(), error);
        stream.bind({loopback, 0}, error);
        const auto bound = stream.local_endpoint(error);
        if (!error)
        {
            datagram.bind({loopback, bound.port()}, error);
        }
        if (!error)
        {
            ports.push_back(bound.port());
        }
        streams.push_back(std::move(stream));
        datagrams.push_back(std::move(datagram));
    }
    if (ports.size() < count)
    {
        return transport::fail(transport::reason::internal,
                               "The kernel gave too few free ports.");
    }
    return ports;
}

} // namespace hyssopdeal::standins
