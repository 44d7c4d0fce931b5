#include <hyssopdeal/protocol/engine_orders.hpp>
#include <hyssopdeal/protocol/exact_json.hpp>
#include <hyssopdeal/transport/json_text.hpp>

#include <nlohmann/json.hpp>

namespace hyssopdeal::protocol
{

namespace
{

constexpr std::string_view orders_path = "/v1/orders";
constexpr std::size_t max_listed = 1'024;

const char* name_of(engine_order_kind kind)
{
    switch (kind)
    {
    case engine_order_kind::load:
        return "load";
    case engine_order_kind::unload:
        return "unload";
    case engine_order_kind::role:
        return "role";
    case engine_order_kind::adapter:
        return "adapter";
    }
    return "load";
}

load_state state_of(const std::string& name)
{
    if (name == "loaded")
    {
        return load_state::loaded;
    }
    return name == "failed" ? load_state::failed : load_state::loading;
}

engine_status read_status(const exact_json& body)
{
    engine_status status;
    for (const auto& item : body.at("loaded"))
    {
        status.versions.push_back({item.at("version").get<std::string>(),
                                   state_of(item.at("state"))});
    }
    if (body.contains("adapters"))
    {
        status.adapters = body.at("adapters").get<std::vector<std::string>>();
    }
    status.role = body.value("role", std::string{});
    const auto& fence = body.at("fence");
    status.fence = {fence.at("term").get<std::uint64_t>(),
                    fence.at("counter").get<std::uint64_t>()};
    return status;
}

} // namespace

transport::http_request make_request(const engine_order& order)
{
    nlohmann::json body{
        {"order", name_of(order.kind)},
        {"fence",
         {{"term", order.fence.term}, {"counter", order.fence.counter}}}};
    if (!order.version.empty())
    {
        body["version"] = order.version;
    }
    if (!order.role.empty())
    {
        body["role"] = order.role;
    }
    transport::http_request request;
    request.method = "POST";
    request.target = orders_path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = transport::json_text(body);
    return request;
}

transport::http_request make_status_request()
{
    transport::http_request request;
    request.target = orders_path;
    return request;
}

transport::result<engine_status> read_engine_status(std::string_view body)
{
    try
    {
        auto status = read_status(exact_json::parse(body));
        if (status.versions.size() <= max_listed &&
            status.adapters.size() <= max_listed)
        {
            return status;
        }
    }
    catch (const exact_json::exception&)
    {
        // Told below: the answer is not understood.
    }
    return transport::fail(transport::reason::broken_answer,
                           "The engine's status is not understood.",
                           transport::verdict::may_have_run);
}

transport::http_request make_load_request()
{
    transport::http_request request;
    request.target = "/v1/load";
    return request;
}

transport::result<engine_load> read_engine_load(std::string_view body)
{
    try
    {
        const auto read = exact_json::parse(body);
        return engine_load{read.at("running").get<std::uint32_t>(),
                           read.at("queued").get<std::uint32_t>(),
                           read.at("slots").get<std::uint32_t>()};
    }
    catch (const exact_json::exception&)
    {
        return transport::fail(transport::reason::broken_answer,
                               "The server's load is not understood.",
                               transport::verdict::may_have_run);
    }
}

} // namespace hyssopdeal::protocol
