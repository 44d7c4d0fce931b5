/// @file
/// Tests of the relay that stands for a faulty network: a fault delays bytes
/// and does not lose them.

#include <chrono>
#include <functional>
#include <string>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/transport/event_loop.hpp>

#include "fault_relay.hpp"
#include "loop_helper.hpp"
#include "raw_peer.hpp"

using namespace std::chrono_literals;
using namespace hyssopdeal;
using namespace hyssopdeal::tests;

TEST_GROUP(fault_relay_tests)
{
    transport::event_loop loop;
    raw_listener server{loop, [](raw_connection&) {}};
    fault_relay relay{loop, {}, {"127.0.0.1", server.port()}};

    void wait_for(const std::function<bool()>& done)
    {
        CHECK(run_until(loop, done, 5s));
    }
};

// Guards against responses that the relay itself cuts off: one without a length
// was closed while some of its bytes were held back.
TEST(fault_relay_tests, held_bytes_arrive_before_the_end_of_the_connection)
{
    relay.set({.without_length = 1});
    const auto caller = raw_call(loop, relay.port());
    caller->send("GET / HTTP/1.1\r\n\r\n");
    wait_for([&] {
        return !server.connections.empty() &&
               !server.connections.front()->received.empty();
    });
    auto& answer = *server.connections.front();
    answer.send("HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n");
    answer.send("5\r\nfirst\r\n");
    wait_for([&] { return caller->received.ends_with("first"); });

    relay.set({.silent_out = true});
    answer.send("6\r\nsecond\r\n");
    loop.run_for(50ms);
    answer.send("0\r\n\r\n");
    loop.run_for(50ms);
    CHECK_FALSE(caller->closed);
    relay.set({});

    wait_for([&] { return caller->closed; });
    CHECK(caller->received.ends_with("firstsecond"));
    CHECK_FALSE(caller->was_reset);
}
