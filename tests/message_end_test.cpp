/// @file
/// Where messages end, on every listener and client: requests that two readers
/// could take for different ones, and responses that only look whole.

#include <hyssopdeal/transport/http1_client.hpp>
#include <hyssopdeal/transport/http1_server.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/http_server.hpp>
#include <hyssopdeal/transport/tcp_relay.hpp>

#include <optional>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

#include "loop_helper.hpp"
#include "raw_peer.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::transport;
using namespace std::chrono_literals;

namespace
{

std::size_t count(const std::string& text, std::string_view part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++found;
    }
    return found;
}

/// A request in the body of another.
const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: 0\r\n\r\n";

} // namespace

// [requests] -----------------------------------------------------------------

TEST_GROUP(request_end_tests)
{
    event_loop loop;
    system_clock clock;
    std::vector<http_request> requests;
    http_response response{200, {}, "done"};
    bool streams = false;
    std::unique_ptr<http1_server> server;
    std::unique_ptr<http_server> other_server;
    std::vector<std::uint16_t> ports;

    void setup() override
    {
        server = std::make_unique<http1_server>(
            loop, clock, http1_server_settings{},
            [this](http1_exchange exchange) {
                requests.push_back(exchange.request());
                if (!streams)
                {
                    return exchange.send(response);
                }
                exchange.begin(response.status, response.headers);
                exchange.write(response.body);
                exchange.finish();
            });
        other_server = std::make_unique<http_server>(
            loop, http_server_settings{},
            [this](const http_request& request, http_responder responder) {
                requests.push_back(request);
                if (!streams)
                {
                    return responder.send(response);
                }
                responder.begin_stream(response.status, response.headers);
                responder.write(response.body);
                responder.end_stream();
            });
        ports = {server->start().value(), other_server->start().value()};
    }

    /// @return What a caller of a port gets for these bytes.
    std::string call(std::uint16_t port, const std::string& bytes)
    {
        requests.clear();
        const auto caller = tests::raw_call(loop, port);
        caller->send(bytes);
        CHECK_TRUE(tests::run_until(
            loop, [&] { return !caller->received.empty(); }, 3s));
        loop.run_for(20ms);
        return caller->received;
    }

    void expect_refusal(const std::string& bytes, const char* status)
    {
        for (const auto port : ports)
        {
            const auto got = call(port, bytes);
            if (!got.starts_with(status) || !requests.empty())
            {
                FAIL(fmt::format("{:?}\ngot\n{:?}\nrequests: {}", bytes, got,
                                 requests.size())
                         .c_str());
            }
            LONGS_EQUAL(1, count(got, "HTTP/1.1 "));
        }
    }
};

// Guards against a request in the body of CONNECT that is run as one of its own.
TEST(request_end_tests, body_of_connect_is_no_request)
{
    for (const auto* target : {"h:80", "/path"})
    {
        expect_refusal(fmt::format("CONNECT {} HTTP/1.1\r\nHost: h\r\n"
                                   "Content-Length: {}\r\n\r\n{}",
                                   target, inner.size(), inner),
                       "HTTP/1.1 501");
        expect_refusal(fmt::format("CONNECT {} HTTP/1.1\r\nHost: h\r\n\r\n{}",
                                   target, inner),
                       "HTTP/1.1 501");
    }
}
