/// @file
/// Tests of protocol/trace_context.hpp and protocol/span_writer.hpp.

#include <hyssopdeal/protocol/span_writer.hpp>
#include <hyssopdeal/protocol/trace_context.hpp>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal::protocol;
using namespace std::chrono_literals;

namespace
{

constexpr const char* valid =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

TEST_GROUP(trace_tests)
{
    std::mt19937_64 random{1};
};

TEST(trace_tests, reads_and_writes_the_header)
{
    const auto context = parse_traceparent(valid);
    CHECK_TRUE(context.has_value());
    STRCMP_EQUAL(valid, to_traceparent(*context).c_str());
}

TEST(trace_tests, refuses_what_is_not_valid)
{
    for (const char* text :
         {"", "00", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
          "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-00000000000000000000000000000000-b7ad6b7169203331-01",
          "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
          "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
          "00-0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331-01"})
    {
        CHECK_FALSE(parse_traceparent(text).has_value());
    }
    CHECK_TRUE(parse_traceparent(
                   "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x")
                   .has_value());
}

TEST(trace_tests, child_stays_in_the_trace)
{
    const auto parent = parse_traceparent(valid);
    const auto child = child_of(*parent, random);
    CHECK(child.trace_low == parent->trace_low);
    CHECK(child.span != parent->span);
    CHECK(new_trace(random).trace_low != parent->trace_low);
}

TEST(trace_tests, writes_one_export_request_a_line)
{
    const std::string path =
        std::string{HYSSOPDEAL_BINARY_DIR} + "/trace_test.jsonl";
    std::remove(path.c_str());
    {
        span_writer writer{path, "entry-1"};
        CHECK_TRUE(writer.open().has_value());
        span made;
        made.context = *parse_traceparent(valid);
        made.parent = 1;
        made.name = "attempt";
        made.kind = span_kind::client;
        made.start = span_time{1s};
        made.end = span_time{2s};
        made.attributes = {{"server", "w\"1"}};
        writer.add(made);
        writer.add(made);
    }
    std::ifstream file{path};
    std::string line;
    std::getline(file, line);
    STRCMP_EQUAL(
        "{\"resourceSpans\":[{\"resource\":{\"attributes\":[{\"key\":\"service."
        "name\",\"value\":{\"stringValue\":\"hyssopdeal\"}},{\"key\":\"service."
        "instance.id\",\"value\":{\"stringValue\":\"entry-1\"}}]},"
        "\"scopeSpans\":[{\"scope\":{\"name\":\"hyssopdeal\"},\"spans\":[{"
        "\"traceId\":\"0af7651916cd43dd8448eb211c80319c\",\"spanId\":"
        "\"b7ad6b7169203331\",\"parentSpanId\":\"0000000000000001\",\"name\":"
        "\"attempt\",\"kind\":3,\"startTimeUnixNano\":\"1000000000\","
        "\"endTimeUnixNano\":\"2000000000\",\"attributes\":[{\"key\":"
        "\"server\",\"value\":{\"stringValue\":\"w\\\"1\"}}],\"status\":{"
        "\"code\":1}}]}]}]}",
        line.c_str());
    std::string second;
    std::getline(file, second);
    CHECK(line == second);
}

TEST(trace_tests, file_that_cannot_be_opened_is_a_failure)
{
    span_writer writer{"/no/such/folder/spans", "entry-1"};
    CHECK_FALSE(writer.open().has_value());
}
