#include "entry_service.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "entry_answers.hpp"
#include "entry_inspection.hpp"

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::fail;
using transport::find_header;
using transport::http_request;
using transport::http_responder;
using transport::http_response;
using transport::reason;
using transport::result;

namespace
{

constexpr std::string_view api_prefix = "/v1/";
constexpr std::string_view stream_prefix = "/v1/streams/";
constexpr std::string_view debug_prefix = "/debug/";
constexpr std::string_view engine_target = "/v1/chat/completions";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_key_bytes = 256;
constexpr std::int64_t longest_deadline_ms = 86'400'000;

/// A target cut at its question mark.
struct target_parts
{
    std::string_view path;
    std::string_view query; ///< With the question mark; may be empty.
};

target_parts split_target(std::string_view target) noexcept
{
    const auto mark = std::min(target.find('?'), target.size());
    return {target.substr(0, mark), target.substr(mark)};
}

template <class Number>
std::optional<Number> read_number(std::string_view text) noexcept
{
    Number value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

std::string_view bearer_key(const http_request& request) noexcept
{
    const auto value = find_header(request.headers, "Authorization");
    const bool fits = value.starts_with(bearer_prefix) &&
                      value.size() <= bearer_prefix.size() + max_key_bytes;
    return fits ? value.substr(bearer_prefix.size()) : std::string_view{};
}

// Dots could lead a backend server out of the route that was checked.
bool is_plain_path(std::string_view path) noexcept
{
    return path.find("/../") == std::string_view::npos &&
           path.find("/./") == std::string_view::npos &&
           !path.ends_with("/..") && !path.ends_with("/.") &&
           path.find('\\') == std::string_view::npos &&
           path.find("%2e") == std::string_view::npos &&
           path.find("%2E") == std::string_view::npos &&
           path.find("%2f") == std::string_view::npos &&
           path.find("%2F") == std::string_view::npos;
}

/// What the catalog says of a request.
struct found_route
{
    std::string organisation;
    double retry_ratio = 0;
    protocol::service_kind kind = protocol::service_kind::plain;
    protocol::route route;
};

bool is_allowed(const protocol::organisation_contract& contract,
                std::string_view service)
{
    return contract.services.empty() ||
           std::find(contract.services.begin(), contract.services.end(),
                     service) != contract.services.end();
}

result<const protocol::organisation_contract*>
find_contract(const entry_catalog& catalog, const http_request& request)
{
    const auto key = bearer_key(request);
    const auto* const contract =
        key.empty() ? nullptr : catalog.find_by_key(key);
    if (contract == nullptr)
    {
        return fail(reason::unauthenticated, "The key is missing or unknown.");
    }
    return contract;
}

result<found_route> look_up(const entry_catalog& catalog,
                            const http_request& request,
                            std::string_view service, std::string_view path)
{
    const auto contract = find_contract(catalog, request);
    if (!contract)
    {
        return tl::unexpected(contract.error());
    }
    const auto* const found = catalog.find_service(service);
    if (found == nullptr)
    {
        return fail(reason::not_found, "No such service is known.");
    }
    if (!is_allowed(**contract, service))
    {
        return fail(reason::forbidden,
                    "The contract does not hold this service.");
    }
    const auto* const route =
        entry_catalog::find_route(*found, request.method, path);
    if (route == nullptr)
    {
        return fail(reason::not_found, "No route has this method and path.");
    }
    return found_route{(*contract)->organisation, (*contract)->retry_ratio,
                       found->kind, *route};
}

http_response text_answer(int status, std::string body)
{
    http_response answer;
    answer.status = status;
    answer.headers = {{"Content-Type", "text/plain; charset=utf-8"}};
    answer.body = std::move(body);
    return answer;
}

} // namespace

entry_service::entry_service(entry_shard& shard)
    : shard_(shard)
{}

void entry_service::handle(http_request request, http_responder responder)
{
    const auto target = split_target(request.target);
    if (target.path.starts_with(stream_prefix))
    {
        // A body means nothing here and must not be kept as long as the stream.
        (void)responder.take_body();
        const std::string id{target.path.substr(stream_prefix.size())};
        resume(request, id, std::move(responder));
    }
    else if (target.path.starts_with(api_prefix))
    {
        serve(std::move(request), std::move(responder));
    }
    else if (target.path.starts_with(debug_prefix))
    {
        answer_debug(shard_, target.path.substr(debug_prefix.size()),
                     std::move(responder));
    }
    else if (target.path == "/metrics")
    {
        responder.send(text_answer(200, metrics_page(shard_.shared)));
    }
    else if (target.path == "/healthz")
    {
        responder.send(text_answer(200, "ok\n"));
    }
    else if (target.path == "/readyz")
    {
        responder.send(readiness());
    }
    else
    {
        responder.send(failure_answer(
            {transport::verdict::not_run, reason::not_found,
             "Nothing is served here; services are under /v1/."}));
    }
}

http_response entry_service::readiness() const
{
    switch (shard_.shared.readiness.load())
    {
    case entry_readiness::serving:
        return text_answer(200, "ready\n");
    case entry_readiness::starting:
        return text_answer(503, "starting\n");
    case entry_readiness::unready:
    case entry_readiness::draining:
        break;
    }
    return text_answer(503, "draining\n");
}

void entry_service::serve(http_request request, http_responder responder)
{
    shard_.metrics.requests.add();
    if (shard_.shared.readiness.load() == entry_readiness::draining)
    {
        responder.send(
            failure_answer({transport::verdict::not_run, reason::draining,
                            "This instance is shutting down."}));
        return;
    }
    auto accepted = accept(std::move(request), responder.take_body());
    if (!accepted)
    {
        shard_.metrics.count(accepted.error());
        responder.send(failure_answer(accepted.error()));
        return;
    }
    std::make_shared<request_flow>(shard_, std::move(*accepted),
                                   std::move(responder))
        ->start();
}

result<accepted_request>
entry_service::accept(http_request request,
                      std::shared_ptr<const std::string> body)
{
    const auto target = split_target(request.target);
    const auto rest = target.path.substr(api_prefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    const auto service = rest.substr(0, slash);
    const auto path = slash < rest.size() ? rest.substr(slash) : "/";
    if (!is_plain_path(path))
    {
        return fail(reason::bad_request, "The path may not hold dots.");
    }
    auto found = shard_.shared.catalog.read(
        [&](const entry_catalog& catalog) -> result<found_route> {
            return look_up(catalog, request, service, path);
        });
    if (!found)
    {
        return tl::unexpected(found.error());
    }
    accepted_request accepted;
    accepted.arrived = shard_.now();
    accepted.deadline = accepted.arrived + found->route.time_limit;
    const auto deadline = find_header(request.headers, "X-Request-Deadline-Ms");
    if (!deadline.empty())
    {
        const auto left = read_number<std::int64_t>(deadline);
        if (!left || *left < 0)
        {
            return fail(reason::bad_request,
                        "X-Request-Deadline-Ms must be a number from 0 up.");
        }
        if (*left == 0)
        {
            return fail(reason::deadline_passed, "The deadline has passed.");
        }
        accepted.deadline =
            std::min(accepted.deadline,
                     accepted.arrived +
                         milliseconds{std::min(*left, longest_deadline_ms)});
    }
    if (found->kind == protocol::service_kind::model)
    {
        auto chat = protocol::read_chat(*body);
        if (!chat)
        {
            return tl::unexpected(chat.error());
        }
        accepted.chat = std::move(*chat);
        accepted.server_target = engine_target;
    }
    else
    {
        accepted.server_target = path;
        accepted.server_target += target.query;
    }
    const auto parent = protocol::parse_traceparent(
        find_header(request.headers, "traceparent"));
    accepted.trace = parent ? protocol::child_of(*parent, shard_.random)
                            : protocol::new_trace(shard_.random);
    accepted.caller_span = parent ? parent->span : 0;
    accepted.organisation = std::move(found->organisation);
    accepted.retry_ratio = found->retry_ratio;
    accepted.service = service;
    accepted.kind = found->kind;
    accepted.route = std::move(found->route);
    accepted.idempotency_key = find_header(request.headers, "Idempotency-Key");
    accepted.http = std::move(request);
    accepted.body = std::move(body);
    return accepted;
}

void entry_service::resume(const http_request& request, std::string_view id,
                           http_responder responder)
{
    const auto organisation = shard_.shared.catalog.read(
        [&](const entry_catalog& catalog) -> result<std::string> {
            const auto contract = find_contract(catalog, request);
            if (!contract)
            {
                return tl::unexpected(contract.error());
            }
            return (*contract)->organisation;
        });
    const auto header = find_header(request.headers, "Last-Event-ID");
    const auto last = header.empty() ? std::optional<std::uint64_t>{0}
                                     : read_number<std::uint64_t>(header);
    if (!organisation)
    {
        responder.send(failure_answer(organisation.error()));
    }
    else if (request.method != "GET" || !last)
    {
        responder.send(failure_answer(
            {transport::verdict::not_run, reason::bad_request,
             "A stream is read by GET with a number as Last-Event-ID."}));
    }
    else if (!shard_.streams.resume(id, *organisation, *last, responder))
    {
        resume_elsewhere(request, id, *organisation, *last,
                         std::move(responder));
    }
}

void entry_service::resume_elsewhere(const http_request& request,
                                     std::string_view id,
                                     const std::string& organisation,
                                     std::uint64_t last,
                                     http_responder responder)
{
    shard_.streams.look_elsewhere(
        shard_, std::string{id}, organisation,
        [this, request, last,
         answer = std::move(responder)](auto copy) mutable {
            if (!copy)
            {
                answer.send(failure_answer(copy.error()));
                return;
            }
            http_request opened;
            opened.method = "POST";
            opened.target = copy->origin.target;
            opened.headers = request.headers;
            auto accepted =
                accept(std::move(opened),
                       std::make_shared<const std::string>(copy->origin.body));
            if (!accepted)
            {
                answer.send(failure_answer(accepted.error()));
                return;
            }
            shard_.streams.adopt(shard_, std::move(*accepted), std::move(*copy),
                                 last, answer);
        });
}

} // namespace hyssopdeal::coordination
