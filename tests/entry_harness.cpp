#include "entry_harness.hpp"

#include <cstdio>
#include <optional>
#include <utility>

#include <unistd.h>

#include <fmt/format.h>

#include <hyssopdeal/transport/digest.hpp>

#include "loop_helper.hpp"

namespace hyssopdeal::tests
{

using namespace std::chrono_literals;
using transport::http_request;
using transport::http_responder;

namespace
{

// Test programs run at the same time: each has a file of its own.
std::string empty_trace_file()
{
    auto path = fmt::format("{}/entry_harness_{}.jsonl", HYSSOPDEAL_BINARY_DIR,
                            ::getpid());
    std::remove(path.c_str());
    return path;
}

coordination::entry_settings settings_for_tests(const std::string& trace_file)
{
    coordination::entry_settings settings;
    settings.name = "entry-1";
    settings.failure_domain = "sul-a";
    settings.max_body_bytes = 100'000;
    settings.read_time_limit = 1s;
    settings.trace_file = trace_file;
    return settings;
}

protocol::organisation_contract contract_of(const std::string& name)
{
    protocol::organisation_contract contract;
    contract.organisation = name;
    contract.key_sha256 = {transport::sha256_hex(name + "-key")};
    contract.requests_per_second = 100'000;
    contract.request_burst = 100'000;
    contract.tokens_per_second = 1e9;
    contract.token_burst = 1e9;
    contract.concurrent_streams = 100'000;
    return contract;
}

protocol::service service_of(const std::string& name,
                             protocol::service_kind kind, std::uint16_t port)
{
    protocol::service service;
    service.name = name;
    service.kind = kind;
    protocol::backend_server server;
    server.name = name + "-1";
    server.address = fmt::format("127.0.0.1:{}", port);
    server.failure_domain = "sul-a";
    server.version = "v1";
    service.servers = {server};
    service.shares = {{"v1", 1}};
    return service;
}

protocol::control_view view_for(std::uint16_t port)
{
    protocol::control_view view;
    view.applied_index = 1;
    view.contracts = {contract_of("serra"), contract_of("vale")};
    view.contracts.front().services = {"books"};
    auto books = service_of("books", protocol::service_kind::plain, port);
    books.routes.resize(2);
    books.routes[0].name = "status";
    books.routes[0].method = "GET";
    books.routes[0].path_prefix = "/status";
    books.routes[0].time_limit = 500ms;
    books.routes[1].name = "pay";
    books.routes[1].path_prefix = "/payments";
    books.routes[1].repeats = protocol::repeatability::at_most_once;
    auto sidra = service_of("sidra", protocol::service_kind::model, port);
    sidra.routes.resize(1);
    sidra.routes[0].name = "chat";
    sidra.routes[0].path_prefix = "/chat/completions";
    sidra.routes[0].time_limit = 2s;
    view.services = {books, sidra};
    return view;
}

/// @return Whether the entry asks for an engine's state, for no caller.
bool is_poll(const http_request& request)
{
    return request.method == "GET" &&
           (request.target == "/v1/load" ||
            request.target.starts_with("/v1/cache-events?"));
}

} // namespace

std::string engine_event_text(const std::string& attempt, int sequence,
                              const std::string& content)
{
    return fmt::format(
        "id: {}:{}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]"
        "}}\n\n",
        attempt, sequence, content);
}

std::string engine_end_text(const std::string& attempt, int sequence)
{
    return fmt::format(
        "id: {}:{}\ndata: {{\"choices\":[{{\"delta\":{{}},\"finish_reason\":"
        "\"stop\"}}],\"usage\":{{\"prompt_tokens\":1,\"completion_tokens\":2}}"
        "}}\n\ndata: [DONE]\n\n",
        attempt, sequence);
}

entry_harness::entry_harness()
    : trace_file(empty_trace_file()),
      backend(loop, {},
              [this](const http_request& request, http_responder responder) {
                  if (!is_poll(request))
                  {
                      backend_requests.push_back(request);
                  }
                  on_backend_request(request, std::move(responder));
              }),
      entry(std::make_unique<coordination::entry_process>(
          settings_for_tests(trace_file), clock))
{
    backend_port = backend.start().value();
    port = entry->start().value();
    address = fmt::format("127.0.0.1:{}", port);
    entry->publish(view_for(backend_port));
}

entry_harness::~entry_harness()
{
    entry.reset();
    std::remove(trace_file.c_str());
}

transport::result<transport::http_response>
entry_harness::fetch(const http_request& request)
{
    std::optional<transport::result<transport::http_response>> got;
    const auto call = client.fetch(
        address, request, {}, [&](auto outcome) { got = std::move(outcome); });
    run_until(loop, [&] { return got.has_value(); });
    return got.value();
}

void entry_harness::use_backend(std::uint16_t other_port)
{
    auto view = view_for(other_port);
    view.applied_index = 2;
    entry->publish(std::move(view));
}

void entry_harness::evacuate()
{
    auto view = view_for(backend_port);
    view.applied_index = 2;
    view.evacuations = {{"sul-a", transport::wall_time{1'234ms}}};
    entry->publish(std::move(view));
}

http_request entry_harness::chat(std::string_view body)
{
    return {"POST",
            "/v1/sidra/chat/completions",
            {{"Authorization", "Bearer vale-key"}},
            std::string{body}};
}

} // namespace hyssopdeal::tests
