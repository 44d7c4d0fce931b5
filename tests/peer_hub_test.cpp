/// @file
/// Tests of protocol/peer_hub.hpp over loopback.

#include <hyssopdeal/protocol/peer_hub.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

#include "fault_relay.hpp"
#include "loop_helper.hpp"

using namespace hyssopdeal::protocol;
using namespace hyssopdeal::transport;
using namespace std::chrono_literals;
using hyssopdeal::tests::raw_exchange;
using hyssopdeal::tests::run_until;

namespace
{

peer_hub_settings settings_of(std::string name, std::string key = "key")
{
    peer_hub_settings settings;
    settings.self = std::move(name);
    settings.shared_key = std::move(key);
    settings.max_message_bytes = 100'000;
    settings.connect_time_limit = 200ms;
    return settings;
}

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

TEST_GROUP(peer_hub_tests)
{
    event_loop loop;
    std::unique_ptr<peer_hub> server =
        std::make_unique<peer_hub>(loop, settings_of("server"));
    peer_hub client{loop, settings_of("client")};
    std::vector<std::string> received;
    std::vector<peer_hub::reply_function> replies;
    std::uint16_t port = 0;

    void setup() override
    {
        port = server->start().value();
        CHECK_TRUE(client.start().has_value());
        client.set_peer("server", local(port));
        listen(*server);
    }

    void listen(peer_hub & hub)
    {
        hub.on_message(peer_channel::grants,
                       [this](const std::string& from,
                              const std::string& payload,
                              peer_hub::reply_function reply) {
                           received.push_back(from + " " + payload);
                           if (payload == "hold")
                           {
                               replies.push_back(std::move(reply));
                               return;
                           }
                           reply("re: " + payload);
                       });
    }

    /// What a call that the server holds back ends with; empty until then.
    using held_outcome = std::shared_ptr<std::optional<result<std::string>>>;

    held_outcome hold(peer_hub & hub)
    {
        auto got = std::make_shared<std::optional<result<std::string>>>();
        hub.call("server", peer_channel::grants, "hold", 5s,
                 [got](auto outcome) { *got = std::move(outcome); });
        return got;
    }

    result<std::string> call(peer_hub & hub, std::string_view to,
                             std::string payload,
                             std::chrono::milliseconds limit = 2s)
    {
        std::optional<result<std::string>> got;
        hub.call(to, peer_channel::grants, std::move(payload), limit,
                 [&](auto outcome) { got = std::move(outcome); });
        CHECK_TRUE(run_until(loop, [&] { return got.has_value(); }));
        return *got;
    }
};

TEST(peer_hub_tests, call_gets_its_answer)
{
    const auto answer = call(client, "server", "one");
    CHECK_TRUE(answer.has_value());
    STRCMP_EQUAL("re: one", answer->c_str());
    STRCMP_EQUAL("client one", received.front().c_str());
}

TEST(peer_hub_tests, messages_keep_their_order)
{
    for (int number = 0; number < 500; ++number)
    {
        client.send("server", peer_channel::grants, std::to_string(number));
    }
    CHECK_TRUE(run_until(loop, [&] { return received.size() == 500; }));
    for (int number = 0; number < 500; ++number)
    {
        STRCMP_EQUAL(("client " + std::to_string(number)).c_str(),
                     received[static_cast<std::size_t>(number)].c_str());
    }
}

TEST(peer_hub_tests, lost_opening_packet_does_not_cost_a_second)
{
    // A full queue of connections drops opening packets.
    asio::ip::tcp::acceptor full{
        loop.context(),
        asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    full.listen(0);
    const auto target = full.local_endpoint();
    std::vector<asio::ip::tcp::socket> fillers;
    for (int count = 0; count < 4; ++count)
    {
        fillers.emplace_back(loop.context());
        fillers.back().async_connect(target, [](const auto&) {});
    }
    auto waited = settings_of("waits");
    waited.connect_time_limit = 2s;
    peer_hub dialler{loop, waited};
    (void)run_until(
        loop, [] { return false; }, 50ms);
    dialler.set_peer("full", local(target.port()));
    dialler.send("full", peer_channel::grants, "one");
    (void)run_until(
        loop, [] { return false; }, 50ms);
    // Now there is room again.
    fillers.clear();
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> taken;
    std::size_t greeted = 0;
    std::function<void()> take = [&] {
        full.async_accept([&](const auto& error, auto socket) {
            if (error)
            {
                return;
            }
            auto kept =
                std::make_shared<asio::ip::tcp::socket>(std::move(socket));
            taken.push_back(kept);
            kept->async_wait(asio::ip::tcp::socket::wait_read,
                             [&greeted, kept](const auto& failed) {
                                 greeted +=
                                     !failed && kept->available() > 0 ? 1 : 0;
                             });
            take();
        });
    };
    take();
    CHECK_TRUE(run_until(
        loop, [&] { return greeted > 0; }, 400ms));
    full.close();
    taken.clear();
}

TEST(peer_hub_tests, large_message_passes_and_one_above_the_cap_does_not)
{
    CHECK_TRUE(call(client, "server", std::string(100'000, 'x')).has_value());
    const auto refused = call(client, "server", std::string(100'100, 'x'));
    CHECK_FALSE(refused.has_value());
    CHECK(refused.error().ran == verdict::not_run);
}

TEST(peer_hub_tests, unknown_peer_is_not_run)
{
    const auto answer = call(client, "nobody", "x");
    CHECK(answer.error().code == reason::connect_failed);
    CHECK(answer.error().ran == verdict::not_run);
}

TEST(peer_hub_tests, refused_connection_is_not_run)
{
    client.set_peer("server", "127.0.0.1:1");
    const auto answer = call(client, "server", "x");
    CHECK(answer.error().code == reason::connect_failed);
    CHECK(answer.error().ran == verdict::not_run);
}

TEST(peer_hub_tests, wrong_key_delivers_nothing)
{
    peer_hub stranger{loop, settings_of("stranger", "other")};
    stranger.set_peer("server", local(port));
    const auto answer = call(stranger, "server", "x");
    CHECK(answer.error().ran == verdict::not_run);
    CHECK_TRUE(received.empty());
}

TEST(peer_hub_tests, peer_of_another_name_gets_nothing)
{
    client.set_peer("wanted", local(port));
    const auto answer = call(client, "wanted", "x");
    CHECK(answer.error().ran == verdict::not_run);
    CHECK_TRUE(received.empty());
}

TEST(peer_hub_tests, unanswered_call_times_out_and_may_have_run)
{
    const auto answer = call(client, "server", "hold", 100ms);
    CHECK(answer.error().code == reason::timed_out);
    CHECK(answer.error().ran == verdict::may_have_run);
    replies.front()("late");
    loop.run_for(20ms);
    CHECK_TRUE(call(client, "server", "next").has_value());
}

TEST(peer_hub_tests, timed_out_before_the_handshake_is_withdrawn)
{
    std::optional<result<std::string>> got;
    client.call("server", peer_channel::grants, "never", 0ms,
                [&](auto outcome) { got = std::move(outcome); });
    CHECK_TRUE(run_until(loop, [&] { return got.has_value(); }));
    CHECK(got->error().ran == verdict::not_run);
    CHECK_TRUE(call(client, "server", "next").has_value());
    LONGS_EQUAL(1, received.size());
}

TEST(peer_hub_tests, broken_link_fails_its_calls_and_is_opened_again)
{
    const auto got = hold(client);
    CHECK_TRUE(run_until(loop, [&] { return !replies.empty(); }));
    server.reset();
    CHECK_TRUE(run_until(loop, [&] { return got->has_value(); }));
    CHECK((*got)->error().code == reason::connection_lost);
    CHECK((*got)->error().ran == verdict::may_have_run);

    auto settings = settings_of("server");
    settings.port = port;
    server = std::make_unique<peer_hub>(loop, settings);
    CHECK_TRUE(server->start().has_value());
    listen(*server);
    CHECK_TRUE(call(client, "server", "again").has_value());
}

// [silent links] -------------------------------------------------------------

namespace
{

constexpr auto silence = 300ms;

peer_hub_settings impatient(std::string name)
{
    auto settings = settings_of(std::move(name));
    settings.silence_limit = silence;
    settings.probe_after = 100ms;
    return settings;
}

} // namespace

// A relay that acknowledges but delivers nothing kept a link open for good.
TEST(peer_hub_tests, link_that_fell_silent_is_given_up_by_the_dialling_side)
{
    hyssopdeal::tests::fault_relay relay{loop, {}, {"127.0.0.1", port}};
    peer_hub entry{loop, impatient("entry")};
    entry.set_peer("server", local(relay.port()));
    CHECK_TRUE(call(entry, "server", "before").has_value());
    relay.silence_open();
    const auto begin = std::chrono::steady_clock::now();
    bool answered = false;
    CHECK_TRUE(run_until(
        loop,
        [&] {
            bool ended = false;
            entry.call("server", peer_channel::grants, "x", 50ms,
                       [&](auto outcome) {
                           answered = outcome.has_value();
                           ended = true;
                       });
            (void)run_until(loop, [&] { return ended; });
            return answered;
        },
        5s));
    // Both waits and a new handshake.
    CHECK(std::chrono::steady_clock::now() - begin < 3 * silence);
}

// Replicas send without waiting for answers on the same link.
TEST(peer_hub_tests, messages_without_answers_find_a_silent_link_too)
{
    hyssopdeal::tests::fault_relay relay{loop, {}, {"127.0.0.1", port}};
    peer_hub replica{loop, impatient("replica")};
    replica.set_peer("server", local(relay.port()));
    CHECK_TRUE(call(replica, "server", "before").has_value());
    relay.silence_open();
    const auto had = received.size();
    CHECK_TRUE(run_until(
        loop,
        [&] {
            replica.send("server", peer_channel::grants, "append");
            (void)run_until(
                loop, [] { return false; }, 20ms);
            return received.size() > had;
        },
        5s));
}

TEST(peer_hub_tests, accepting_side_gives_a_silent_link_up)
{
    server = std::make_unique<peer_hub>(loop, impatient("server"));
    port = server->start().value();
    listen(*server);
    hyssopdeal::tests::fault_relay relay{loop, {}, {"127.0.0.1", port}};
    peer_hub entry{loop, settings_of("entry")};
    entry.set_peer("server", local(relay.port()));
    CHECK_TRUE(call(entry, "server", "before").has_value());
    const auto got = hold(entry);
    CHECK_TRUE(run_until(loop, [&] { return !replies.empty(); }));
    hyssopdeal::tests::link_fault fault;
    fault.silent_in = true;
    relay.set(fault);
    // The answer arrives; the probe's does not come back.
    replies.front()("late");
    CHECK_TRUE(run_until(loop, [&] { return got->has_value(); }));
    CHECK_TRUE(run_until(
        loop, [&] { return server->open_links() == 0; }, 2s));
}

// One that is only idle, slow to answer or busy with a long message stays.
TEST(peer_hub_tests, sound_links_are_kept)
{
    peer_hub entry{loop, impatient("entry")};
    entry.set_peer("server", local(port));
    const auto got = hold(entry);
    (void)run_until(
        loop, [] { return false; }, 4 * silence);
    CHECK_FALSE(got->has_value());
    replies.front()("late");
    CHECK_TRUE(run_until(loop, [&] { return got->has_value(); }));
    CHECK_TRUE((*got)->has_value());
    LONGS_EQUAL(1, entry.open_links());
}

TEST(peer_hub_tests, garbage_and_oversized_frames_close_the_link)
{
    const auto greeting =
        raw_exchange(loop, port, "GET / HTTP/1.1\r\n\r\n").size();
    CHECK_TRUE(greeting > 0);
    raw_exchange(loop, port, std::string("\0\0\0\4abcd", 8));
    raw_exchange(loop, port, std::string("\0\0\0\0", 4));
    CHECK_TRUE(call(client, "server", "after").has_value());
    LONGS_EQUAL(1, received.size());
}

// Guards against one log line for each unknown peer that connects: 30 at once
// are counted, in the limit that bounds the lines to ten a second.
TEST(peer_hub_tests, links_closed_for_bad_input_are_counted)
{
    for (int stranger = 0; stranger < 30; ++stranger)
    {
        raw_exchange(loop, port, std::string("\0\0\0\4abcd", 8));
    }
    LONGS_EQUAL(30, server->bad_input().total());
    STRCMP_CONTAINS("\nhyssopdeal_bad_input_links_total 30\n",
                    bad_input_metrics(server->bad_input()).c_str());
    LONGS_EQUAL(0, client.bad_input().total());
}

TEST(peer_hub_tests, silent_connection_is_closed_in_time)
{
    raw_exchange(loop, port, "");
    CHECK_TRUE(call(client, "server", "after").has_value());
}
