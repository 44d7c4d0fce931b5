/// @file
/// The operators' calls with malformed bodies, sent over TCP to a replica.

#include <string>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <hyssopdeal/transport/http1_server.hpp>

#include "platform/documents.hpp"
#include "platform/operators_api.hpp"

#include "cluster_harness.hpp"

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::tests;

namespace
{

/// A document with letters of two, three and four bytes.
std::string document(int version)
{
    return fmt::format(
        R"({{"version":{},"routes":[{{"name":"r-1","host":"a.example",)"
        R"("path_prefix":"/booking/","route_kind":"safe",)"
        R"("timeout_ms":3000,"service":"app"}}],)"
        R"("services":[{{"name":"app"}}],)"
        R"("tenants":[{{"name":"Pescadería 魚 🐟","api_keys":["key-1"]}}]}})",
        version);
}

int status_of(const std::string& answer)
{
    constexpr std::size_t status_place = 9;
    return answer.size() > status_place
               ? std::atoi(answer.c_str() + status_place)
               : 0;
}

std::string body_of(const std::string& answer)
{
    const auto end = answer.find("\r\n\r\n");
    return end == std::string::npos ? std::string{} : answer.substr(end + 4);
}

} // namespace

TEST_GROUP(operators_api_tests)
{
    cluster_harness cluster{1, platform::decode_document};
    transport::http1_server server{cluster.loop,
                                   cluster.clock,
                                   {},
                                   [this](transport::http1_exchange exchange) {
                                       platform::answer_operator(
                                           *cluster.replicas.at(0),
                                           std::move(exchange));
                                   }};
    std::uint16_t port = 0;

    void setup() override
    {
        port = server.start().value_or(0);
        CHECK_TRUE(run_until(cluster.loop, [this] {
            return status_of(ask("PUT", "/api/config", document(1))) == 200;
        }));
    }

    std::string ask(const std::string& method, const std::string& target,
                    const std::string& body = {})
    {
        return raw_exchange(cluster.loop, port,
                            fmt::format("{} {} HTTP/1.1\r\nHost: control\r\n"
                                        "Connection: close\r\n"
                                        "Content-Length: {}\r\n\r\n{}",
                                        method, target, body.size(), body));
    }

    void check_refused(const std::string& method, const std::string& target,
                       const std::string& body = {})
    {
        const auto answer = ask(method, target, body);
        const int status = status_of(answer);
        CHECK_TRUE_TEXT(status >= 400 && status < 500, answer.c_str());
        CHECK_TRUE_TEXT(nlohmann::json::accept(body_of(answer)),
                        answer.c_str());
    }
};

// Regression: the refusal of a document that ended inside a character ended
// the replica, and the operator's next try ended the next one.
TEST(operators_api_tests, document_cut_anywhere_is_refused)
{
    const auto whole = document(2);
    for (std::size_t length = 0; length < whole.size(); ++length)
    {
        check_refused("PUT", "/api/config", whole.substr(0, length));
    }
    LONGS_EQUAL(200, status_of(ask("PUT", "/api/config", whole)));
    STRCMP_EQUAL(whole.c_str(), body_of(ask("GET", "/api/config")).c_str());
}

TEST(operators_api_tests, invalid_byte_anywhere_is_refused)
{
    const auto whole = document(2);
    for (std::size_t place = 0; place < whole.size(); ++place)
    {
        auto spoiled = whole;
        spoiled[place] = '\xff';
        check_refused("PUT", "/api/config", spoiled);
    }
    LONGS_EQUAL(200, status_of(ask("PUT", "/api/config", whole)));
}

TEST(operators_api_tests, malformed_rollouts_are_refused)
{
    const std::string whole =
        R"({"service":"Pescadería","target":"v2","duration_s":30})";
    for (std::size_t length = 0; length < whole.size(); ++length)
    {
        check_refused("POST", "/api/rollouts", whole.substr(0, length));
        auto spoiled = whole;
        spoiled[length] = '\xff';
        check_refused("POST", "/api/rollouts", spoiled);
    }
    check_refused("GET", "/api/rollouts/%FF");
    check_refused("GET", "/api/rollouts/no-such-service");
}

// Guards against refusals of resent orders, and against orders for domains that
// do not exist.
TEST(operators_api_tests, evacuations_are_ordered_and_resent)
{
    const auto status = [&](const char* method, const char* target) {
        return status_of(ask(method, target));
    };
    LONGS_EQUAL(503, status("POST", "/api/evacuation/d0"));
    cluster.replicas.at(0)->set_known_domains({"d0"});
    for (int sent = 0; sent < 2; ++sent)
    {
        LONGS_EQUAL(200, status("POST", "/api/evacuation/d0"));
    }
    // Known as evacuated, though the settings no longer name it.
    cluster.replicas.at(0)->set_known_domains({"d1"});
    LONGS_EQUAL(200, status("POST", "/api/evacuation/d0"));
    LONGS_EQUAL(200, status("DELETE", "/api/evacuation/d0"));
    // Resent after it was accepted, by an operator who got no answer.
    LONGS_EQUAL(200, status("DELETE", "/api/evacuation/d0"));
    LONGS_EQUAL(404, status("POST", "/api/evacuation/d2"));
    LONGS_EQUAL(404, status("DELETE", "/api/evacuation/d2"));
    LONGS_EQUAL(200, status("DELETE", "/api/evacuation/d1"));
    check_refused("POST", "/api/evacuation/%FF");
    for (const auto* target : {"/api/evacuation", "/api/evacuation/",
                               "/api/evacuation/d1/", "/api/evacuation/d1/x"})
    {
        LONGS_EQUAL(404, status("POST", target));
    }
    for (const auto* method : {"GET", "PUT"})
    {
        LONGS_EQUAL(405, status(method, "/api/evacuation/d1"));
    }
}
