/// @file
/// Tests of transport/datagram_socket.hpp.

#include <hyssopdeal/transport/datagram_socket.hpp>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "loop_helper.hpp"

using namespace hyssopdeal::transport;
using hyssopdeal::tests::run_until;

TEST_GROUP(datagram_socket_tests)
{
    event_loop loop;
    std::vector<std::string> senders;
    std::vector<std::string> received;
    datagram_socket receiver{loop, "127.0.0.1", 0, "key",
                             [this](std::string from, std::string payload) {
                                 senders.push_back(std::move(from));
                                 received.push_back(std::move(payload));
                             }};
    std::string address;

    void setup() override
    {
        address = "127.0.0.1:" + std::to_string(receiver.start().value());
    }
};

TEST(datagram_socket_tests, delivers_with_the_senders_address)
{
    datagram_socket sender{loop, "127.0.0.1", 0, "key", {}};
    const auto port = sender.start().value();
    sender.send(address, "hello");
    sender.send(address, "");
    CHECK_TRUE(run_until(loop, [&] { return received.size() == 2; }));
    STRCMP_EQUAL("hello", received.front().c_str());
    STRCMP_EQUAL(("127.0.0.1:" + std::to_string(port)).c_str(),
                 senders.front().c_str());
}

TEST(datagram_socket_tests, drops_and_counts_a_wrong_key)
{
    datagram_socket sender{loop, "127.0.0.1", 0, "other", {}};
    CHECK_TRUE(sender.start().has_value());
    sender.send(address, "hello");
    CHECK_TRUE(run_until(loop, [&] { return receiver.rejected() == 1; }));
    CHECK_TRUE(received.empty());
}

TEST(datagram_socket_tests, largest_payload_passes_and_a_larger_one_not)
{
    datagram_socket sender{loop, "127.0.0.1", 0, "key", {}};
    CHECK_TRUE(sender.start().has_value());
    sender.send(address, std::string(1'401, 'x'));
    sender.send(address, std::string(1'400, 'y'));
    CHECK_TRUE(run_until(loop, [&] { return !received.empty(); }));
    LONGS_EQUAL(1'400, received.front().size());
    LONGS_EQUAL(1, received.size());
}

TEST(datagram_socket_tests, bad_address_is_a_failure)
{
    datagram_socket socket{loop, "not a number", 0, "key", {}};
    CHECK_FALSE(socket.start().has_value());
    receiver.send("nowhere", "dropped");
}
