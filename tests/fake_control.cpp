#include "fake_control.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssopdeal::tests
{

namespace
{

using transport::http_request;
using transport::http_response;

std::string header(const http_request& request, std::string_view name)
{
    return std::string(transport::find_header(request.headers, name));
}

http_response not_found()
{
    return {404, {}, R"({"error":{"reason":"not_found","text":"None."}})"};
}

} // namespace

fake_control::fake_control()
    : server_(loop_, {},
              [this](const http_request& request,
                     transport::http_responder responder) {
                  handle(request, std::move(responder));
              })
{
    port_ = server_.start().value();
    thread_ = std::thread([this] { loop_.run(); });
}

fake_control::~fake_control()
{
    loop_.stop();
    thread_.join();
}

std::string fake_control::address() const
{
    return fmt::format("127.0.0.1:{}", port_);
}

void fake_control::lose_answers(int count)
{
    const std::scoped_lock lock(mutex_);
    answers_to_lose_ = count;
}

void fake_control::set_leader(std::string leader)
{
    const std::scoped_lock lock(mutex_);
    leader_ = std::move(leader);
}

void fake_control::set_applied(std::uint64_t index)
{
    const std::scoped_lock lock(mutex_);
    applied_ = index;
}

void fake_control::overwrite(const std::string& target, const std::string& body)
{
    const std::scoped_lock lock(mutex_);
    records_[target] = {body, ++index_};
}

std::uint64_t fake_control::writes() const
{
    const std::scoped_lock lock(mutex_);
    return writes_;
}

void fake_control::handle(const http_request& request,
                          transport::http_responder responder)
{
    const std::scoped_lock lock(mutex_);
    auto response = answer(request);
    if (request.method != "GET" && answers_to_lose_ > 0)
    {
        --answers_to_lose_;
        responder.begin_stream(response.status, {});
        responder.abort_stream();
        return;
    }
    response.headers.push_back({"Hyssopdeal-Index", std::to_string(index_)});
    responder.send(std::move(response));
}

http_response fake_control::answer(const http_request& request)
{
    if (!leader_.empty())
    {
        return {421, {{"Hyssopdeal-Leader", leader_}}, "{}"};
    }
    if (header(request, "Authorization") != "Bearer t0ken")
    {
        return {401, {}, R"({"error":{"reason":"unauthenticated","text":""}})"};
    }
    if (request.method == "GET")
    {
        return read(request.target);
    }
    const auto order = header(request, "Hyssopdeal-Order-Id");
    const auto known = answered_.find(order);
    if (known != answered_.end())
    {
        return known->second;
    }
    return answered_[order] = write(request);
}

http_response fake_control::read(const std::string& target)
{
    if (target.starts_with("/v1/applied"))
    {
        const auto index = std::stoull(target.substr(target.find('=') + 1));
        return {200,
                {},
                fmt::format("{{\"members\":[{{\"name\":\"entry-1\",\"applied\":"
                            "{},\"state\":\"alive\"}}],\"in_force\":{}}}",
                            applied_, applied_ >= index)};
    }
    const auto found = records_.find(target);
    if (found == records_.end())
    {
        return not_found();
    }
    auto body = nlohmann::json::parse(found->second.body);
    body["revision"] = found->second.revision;
    return {200, {}, body.dump()};
}

http_response fake_control::write(const http_request& request)
{
    const auto found = records_.find(request.target);
    const auto revision = found == records_.end() ? 0 : found->second.revision;
    const bool any_revision = header(request, "If-Match").empty() &&
                              request.target.starts_with("/v1/evacuations/");
    if (!any_revision &&
        header(request, "If-Match") != std::to_string(revision))
    {
        auto winner = read(request.target);
        winner.status = 409;
        return winner;
    }
    ++writes_;
    if (request.method == "DELETE")
    {
        records_.erase(request.target);
        ++index_;
        return {200, {}, "{}"};
    }
    records_[request.target] = {request.body.empty() ? "{}" : request.body,
                                ++index_};
    return read(request.target);
}

} // namespace hyssopdeal::tests
