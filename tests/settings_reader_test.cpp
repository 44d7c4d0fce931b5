/// @file
/// Tests of protocol/settings_reader.hpp and protocol/contract_json.hpp: what
/// is accepted, and that mistakes name file, line, key, found and allowed.

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/protocol/contract_json.hpp>
#include <hyssopdeal/protocol/settings_reader.hpp>

namespace protocol = hyssopdeal::protocol;
using std::chrono::milliseconds;

namespace sample
{

struct peer
{
    std::string name;
    std::string address;
};

struct settings
{
    int port = 80;
    double ratio = 0.5;
    bool loud = false;
    milliseconds limit{100};
    std::vector<peer> peers;
};

void describe(protocol::settings_fields& fields, peer& value)
{
    fields.text("name", value.name, protocol::text_rule::name,
                protocol::presence::required);
    fields.text("address", value.address, protocol::text_rule::address);
}

void describe(protocol::settings_fields& fields, settings& value)
{
    fields.integer("port", value.port, 0, 65'535);
    fields.real("ratio", value.ratio, 0, 1);
    fields.flag("loud", value.loud);
    fields.duration("limit_ms", value.limit, milliseconds{1},
                    milliseconds{1'000});
    fields.list("peers", value.peers, 2);
}

} // namespace sample

namespace
{

std::string mistakes_in(const std::string& text)
{
    const auto read = protocol::read_settings<sample::settings>(text, "s.json");
    return read ? std::string{} : read.error().text;
}

std::string mistakes_in_service(const std::string& text)
{
    const auto read = protocol::read_service(text, "s.json");
    return read ? std::string{} : read.error().text;
}

} // namespace

TEST_GROUP(settings_reader){};

TEST(settings_reader, reads_comments_and_keeps_defaults)
{
    const auto read = protocol::read_settings<sample::settings>(
        "{ // comment\n \"port\": 8080, /* one more */ \"limit_ms\": 7,\n"
        "\"peers\": [{\"name\": \"a\", \"address\": \"[::1]:1\"}]}",
        "s.json");
    CHECK(read.has_value());
    LONGS_EQUAL(8080, read->port);
    DOUBLES_EQUAL(0.5, read->ratio, 0);
    CHECK(read->limit == milliseconds{7});
    STRCMP_EQUAL("[::1]:1", read->peers.at(0).address.c_str());
}

TEST(settings_reader, names_every_mistake_at_once)
{
    const auto text = mistakes_in("{\n\"port\": 70000,\n\"ratio\": \"x\",\n"
                                  "\"prot\": 1,\n\"peers\": [\n"
                                  "{\"address\": \"host:1\"}]}");
    STRCMP_EQUAL(
        "s.json:4: prot: found an unknown key, allowed port, ratio, loud, "
        "limit_ms, peers\n"
        "s.json:2: port: found 70000, allowed a whole number from 0 to 65535\n"
        "s.json:3: ratio: found \"x\", allowed a number from 0 to 1\n"
        "s.json:6: peers[0].name: found no such key, allowed a value: it is "
        "needed\n"
        "s.json:6: peers[0].address: found \"host:1\", allowed an address "
        "such as 127.0.0.1:8080 or [::1]:8080",
        text.c_str());
}

TEST(settings_reader, names_the_line_of_a_syntax_error)
{
    STRCMP_CONTAINS("s.json:2: ", mistakes_in("{\"port\": 1,\n 2}").c_str());
    STRCMP_CONTAINS("s.json:1: ", mistakes_in("").c_str());
    STRCMP_CONTAINS("s.json:1: ", mistakes_in("{} {}").c_str());
}

TEST(settings_reader, refuses_a_key_that_stands_twice)
{
    STRCMP_EQUAL("s.json:2: key 'port' stands twice",
                 mistakes_in("{\"port\": 1,\n\"port\": 2}").c_str());
}

TEST(settings_reader, caps_depth_and_list_length)
{
    STRCMP_CONTAINS("levels", mistakes_in(std::string(100, '[')).c_str());
    STRCMP_CONTAINS(
        "allowed a list of at most 2",
        mistakes_in("{\"peers\": [{\"name\":\"a\"},{\"name\":\"b\"},"
                    "{\"name\":\"c\"}]}")
            .c_str());
}

TEST(settings_reader, refuses_numbers_out_of_any_range)
{
    CHECK(!mistakes_in("{\"port\": 99999999999999999999}").empty());
    CHECK(!mistakes_in("{\"port\": 1.5}").empty());
    CHECK(!mistakes_in("{\"port\": -1}").empty());
    CHECK(!mistakes_in("{\"limit_ms\": 0}").empty());
    CHECK(!mistakes_in("[]").empty());
}

TEST(settings_reader, writes_what_it_reads)
{
    sample::settings value;
    value.peers = {{"a", "127.0.0.1:1"}};
    const auto text = protocol::write_settings(value);
    const auto read = protocol::read_settings<sample::settings>(text, "again");
    CHECK(read.has_value());
    STRCMP_EQUAL(text.c_str(), protocol::write_settings(*read).c_str());
}

TEST(settings_reader, missing_file_is_a_clear_mistake)
{
    const auto read =
        protocol::read_settings_file<sample::settings>("/nonexistent/x.json");
    CHECK(!read.has_value());
    STRCMP_EQUAL("/nonexistent/x.json: cannot be opened",
                 read.error().text.c_str());
}

TEST_GROUP(contract_json){};

TEST(contract_json, text_is_canonical)
{
    const auto one = protocol::read_contract(
        "{\"organisation\":\"o\",\"retry_ratio\":0.25,\"revision\":7,"
        "\"priority_ceiling\":\"batch\"}",
        "one");
    const auto other = protocol::read_contract(
        "// same\n{\"priority_ceiling\":\"batch\",\"organisation\":\"o\",\n"
        "\"retry_ratio\":0.25}",
        "other");
    CHECK(one.has_value() && other.has_value());
    CHECK(*one == *other);
    STRCMP_EQUAL(protocol::write_contract(*one).c_str(),
                 protocol::write_contract(*other).c_str());
}

TEST(contract_json, service_goes_round_whole)
{
    protocol::service value;
    value.name = "sidra-llm";
    value.routes = {{"critique"}, {"booking"}};
    value.routes[1].repeats = protocol::repeatability::at_most_once;
    value.servers = {{"e1", "127.0.0.1:1", "sul-a", "v1"}};
    value.shares = {{"v1", 1}};
    const auto read =
        protocol::read_service(protocol::write_service(value), "again");
    CHECK(read.has_value());
    CHECK(*read == value);
}

TEST(contract_json, refuses_what_members_say_together)
{
    const std::string server = "{\"name\":\"e\",\"address\":\"127.0.0.1:1\","
                               "\"failure_domain\":\"d\",\"version\":\"v1\"}";
    STRCMP_CONTAINS("servers: found \"e\" twice",
                    mistakes_in_service("{\"name\":\"s\",\"servers\":[" +
                                        server + "," + server + "]}")
                        .c_str());
    STRCMP_CONTAINS(
        "add up to 0.5",
        mistakes_in_service("{\"name\":\"s\",\"servers\":[" + server +
                            "],\"shares\":[{\"version\":\"v1\",\"share\":0.5}"
                            "]}")
            .c_str());
    STRCMP_CONTAINS(
        "version \"v2\", which no server serves",
        mistakes_in_service("{\"name\":\"s\",\"servers\":[" + server +
                            "],\"shares\":[{\"version\":\"v2\",\"share\":1}]}")
            .c_str());
    STRCMP_CONTAINS(
        "routes[0].method: found \"get\"",
        mistakes_in_service(
            "{\"name\":\"s\",\"routes\":[{\"name\":\"r\",\"method\":\"get\"}]}")
            .c_str());
}
