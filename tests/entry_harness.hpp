#ifndef HYSSOPDEAL_TESTS_ENTRY_HARNESS_HPP
#define HYSSOPDEAL_TESTS_ENTRY_HARNESS_HPP

/// @file
/// An entry process and a scripted backend server on loopback, for tests.
///
/// Index: [script] [entry_harness]

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/entry_process.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/http_server.hpp>

namespace hyssopdeal::tests
{

// [script] -------------------------------------------------------------------

/// @return An engine's event as bytes.
std::string engine_event_text(const std::string& attempt, int sequence,
                              const std::string& content);

/// @return The last event but one and the end mark.
std::string engine_end_text(const std::string& attempt, int sequence);

// [entry_harness] ------------------------------------------------------------

/// Organisations `vale` and `serra` with the keys `vale-key` and `serra-key`;
/// `serra` may only use `books`. Services `sidra` (model) and `books` (plain),
/// both answered by `on_backend_request`.
class entry_harness
{
public:
    using backend_handler =
        std::function<void(transport::http_request, transport::http_responder)>;

    entry_harness();
    ~entry_harness();

    /// Sends a request to the entry and collects the answer.
    transport::result<transport::http_response>
    fetch(const transport::http_request& request);

    /// Declares that the services are at another port.
    void use_backend(std::uint16_t other_port);

    /// Declares that the servers' failure domain, `sul-a`, is evacuated.
    void evacuate();

    /// A POST of a chat with a key.
    static transport::http_request
    chat(std::string_view body = R"({"stream":true,"messages":[)"
                                 R"({"role":"user","content":"hi"}]})");

    const std::string trace_file; ///< Emptied at the start.
    transport::system_clock clock;
    transport::event_loop loop;
    /// Without the entry's own polls, which come at any time.
    std::vector<transport::http_request> backend_requests;
    backend_handler on_backend_request;
    transport::http_server backend;
    transport::http_client client{loop};
    std::unique_ptr<coordination::entry_process> entry;
    std::uint16_t backend_port = 0;
    std::uint16_t port = 0;
    std::string address;
};

} // namespace hyssopdeal::tests

#endif
