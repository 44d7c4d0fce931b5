/// @file
/// An operator sends a config that was cut short inside a name.

#include <string>

#include <fmt/format.h>

#include "../support/world.hpp"

namespace
{

using namespace review;

constexpr std::size_t core_machines = 4;

std::string config(int version)
{
    return fmt::format(
        R"({{"version":{},"routes":[{{"name":"r-1","host":"a.example",)"
        R"("path_prefix":"/booking/","route_kind":"unsafe",)"
        R"("timeout_ms":3000,"target_latency_ms":300,"priority":1,)"
        R"("service":"app","max_attempts":1,"auth_exempt":false}}],)"
        R"("services":[{{"name":"app","health_path":"/health",)"
        R"("max_connections":110,"protocol":"h1","tls":false}}],)"
        R"("limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000}},)"
        R"("tenants":[{{"name":"Pescadería Nosara","api_keys":["key-1"],)"
        R"("rate_per_s":0,"burst_size":0}}]}})",
        version);
}

http_request put(std::string body)
{
    return {"PUT",
            "/api/config",
            {{"Host", "control"}, {"Content-Type", "application/json"}},
            std::move(body)};
}

int play(world& fleet, record& log)
{
    constexpr std::chrono::seconds forming{20};
    constexpr std::chrono::seconds sending{25};
    constexpr std::chrono::seconds settling{8};
    constexpr std::size_t ends_of_fault = 3;
    fleet.start();
    if (fleet.order(put(config(1)), forming).status != 200)
    {
        log.line("the first config was not accepted");
        return cannot_run;
    }
    auto second = config(2);
    if (with_trouble())
    {
        // The first of the two bytes of the letter is the last one sent.
        second.resize(second.find("ería") + 3);
    }
    const auto answer = fleet.order(put(second), sending);
    const auto end = std::chrono::steady_clock::now() + settling;
    while (std::chrono::steady_clock::now() < end)
    {
        fleet.watch();
        std::this_thread::sleep_for(milliseconds{50});
    }
    const auto held_now =
        fleet.order({"GET", "/api/config", {{"Host", "control"}}, ""}, forming);
    log.line(fmt::format("read back: {} {}", held_now.status,
                         held_now.body.substr(0, 12)));
    std::size_t machines_with_fault = 0;
    for (std::size_t number = 0; number < core_machines; ++number)
    {
        const auto ends = fleet.ends(role::replica, number);
        log.line(
            fmt::format("core-{} ended by itself {} times", number + 1, ends));
        machines_with_fault += ends >= ends_of_fault ? 1 : 0;
    }
    log.line(
        fmt::format("last answer to the second config: {}", answer.status));
    const bool fault = 2 * machines_with_fault >= core_machines;
    log.line(fault ? "BROKEN: on half of the core or more, processes ended by "
                     "themselves three times"
                   : "held");
    return fault ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, core_machines, 0, play);
}
