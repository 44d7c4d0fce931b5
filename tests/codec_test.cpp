/// @file
/// Tests of protocol/sse_parser.hpp, protocol/chat_codec.hpp and
/// protocol/follow_messages.hpp.

#include <hyssopdeal/protocol/chat_codec.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/protocol/sse_parser.hpp>

#include <limits>
#include <string>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal::protocol;
using hyssopdeal::transport::reason;

TEST_GROUP(sse_parser_tests)
{
    sse_parser parser{64};
    std::string seen;

    bool feed(std::string_view piece)
    {
        return parser
            .feed(piece,
                  [this](const sse_event& event) {
                      seen += std::string{event.id} + "|" +
                              std::string{event.data} + ";";
                  })
            .has_value();
    }
};

TEST(sse_parser_tests, reads_events_from_any_pieces)
{
    const std::string text = ": comment\n\nid: 1\ndata: a\ndata: b\n\n"
                             "event: x\r\ndata:c\r\n\r\nid: 9\n\ndata: d\n\n";
    CHECK_TRUE(feed(text));
    const auto whole = seen;
    STRCMP_EQUAL("1|a\nb;|c;|d;", whole.c_str());
    seen.clear();
    for (const char letter : text)
    {
        CHECK_TRUE(feed({&letter, 1}));
    }
    CHECK(seen == whole);
    CHECK_FALSE(parser.has_partial_event());
}

TEST(sse_parser_tests, event_above_the_cap_is_refused)
{
    CHECK_TRUE(feed("data: " + std::string(50, 'x') + "\n\n"));
    CHECK_FALSE(feed("data: " + std::string(60, 'x')));
}

TEST_GROUP(chat_codec_tests){};

TEST(chat_codec_tests, reads_what_decisions_need)
{
    const auto chat = read_chat(
        R"({"stream":true,"max_tokens":7,"messages":[)"
        R"({"role":"system","content":"s"},)"
        R"({"role":"user","content":[{"type":"text","text":"a"},{"x":1}]}]})");
    CHECK_TRUE(chat.has_value());
    CHECK(chat->mode == answer_mode::streamed);
    LONGS_EQUAL(7, chat->max_tokens);
    STRCMP_EQUAL("system:s\nuser:a\nassistant:", chat->prompt.c_str());
}

TEST(chat_codec_tests, goes_on_from_the_text_so_far)
{
    const auto body = continue_chat(
        R"({"max_tokens":10,"messages":[{"role":"user","content":"q"}]})",
        {"so far", 4});
    CHECK_TRUE(body.has_value());
    STRCMP_EQUAL(R"({"continue_final_message":true,"max_tokens":6,)"
                 R"("messages":[{"content":"q","role":"user"},)"
                 R"({"content":"so far","role":"assistant"}]})",
                 body->c_str());
    const auto again = continue_chat(*body, {" and on", 2});
    STRCMP_CONTAINS(R"("content":"so far and on")", again->c_str());
    STRCMP_CONTAINS(R"("max_tokens":4)", again->c_str());
}

TEST(chat_codec_tests, reads_events_of_an_answer)
{
    const auto text =
        read_chat_event(R"({"choices":[{"delta":{"content":"a\nb"}}]})");
    CHECK(text->kind == chat_event_kind::text);
    STRCMP_EQUAL("a\nb", text->text.c_str());
    const auto finish = read_chat_event(
        R"({"choices":[{"delta":{},"finish_reason":"stop"}],)"
        R"("usage":{"prompt_tokens":3,"completion_tokens":2}})");
    CHECK(finish->kind == chat_event_kind::finish);
    LONGS_EQUAL(3, finish->prompt_tokens);
    CHECK(read_chat_event("[DONE]")->kind == chat_event_kind::done);
}

TEST(chat_codec_tests, refuses_broken_events)
{
    for (const char* data : {"", "[DONE", "{}", "[]", "1", "{\"choices\":{}}"})
    {
        const auto event = read_chat_event(data);
        CHECK_FALSE(event.has_value());
        CHECK(event.error().code == reason::broken_answer);
    }
    CHECK_FALSE(read_chat_event(std::string(500'000, '[')).has_value());
}

TEST(chat_codec_tests, refuses_deep_bodies)
{
    const auto deep = R"({"messages":[{"role":"user","content":"q"}],"x":)" +
                      std::string(1'000, '[') + std::string(1'000, ']') + "}";
    CHECK_FALSE(read_chat(deep).has_value());
}

TEST_GROUP(follow_message_tests){};

TEST(follow_message_tests, orders_survive_their_encoding)
{
    entry_orders orders;
    orders.document_version = 3;
    orders.packed_document = pack_text("text");
    orders.moves["s"] = {"v2", 5, true, 0.25, 9, {"v0"}};
    orders.brittle["s"] = {2.5, 40};
    orders.entry_number = 6;
    const auto read = decode_entry_orders(encode(orders));
    CHECK_TRUE(read.has_value());
    STRCMP_EQUAL("text", unpack_text(*read->packed_document)->c_str());
    CHECK_TRUE(read->moves == orders.moves);
    DOUBLES_EQUAL(2.5, read->brittle.at("s").rejections_per_s, 0);
    CHECK_EQUAL(6, read->entry_number);
    entry_report report;
    report.wants_document = true;
    report.moves["s"].target_bad = 4;
    report.brittle["s"] = {2.5, 40};
    const auto told = decode_entry_report(encode(report));
    CHECK_TRUE(told.has_value() && told->wants_document);
    CHECK_EQUAL(4, told->moves.at("s").target_bad);
    CHECK_EQUAL(40, told->brittle.at("s").age_ms);
}

TEST(follow_message_tests, packed_text_that_is_damaged_is_refused)
{
    const std::string text(100'000, 'x');
    const auto packed = pack_text(text);
    CHECK_TRUE(packed.size() < 1'000);
    CHECK_TRUE(*unpack_text(packed) == text);
    CHECK_FALSE(unpack_text("short").has_value());
    CHECK_FALSE(unpack_text(packed.substr(0, packed.size() - 9)).has_value());
    auto huge = packed;
    huge[7] = '\x7f';
    CHECK_FALSE(unpack_text(huge).has_value());
    auto other = packed;
    other[0] = static_cast<char>(other[0] + 1);
    CHECK_FALSE(unpack_text(other).has_value());
}

TEST(follow_message_tests, numbers_that_are_no_integers_are_refused)
{
    const auto decode = [](const nlohmann::json& wait_ms) {
        const auto packed = nlohmann::json::to_msgpack(
            {{"granted", true}, {"wait_ms", wait_ms}});
        return decode_token_answer(std::string{packed.begin(), packed.end()});
    };
    LONGS_EQUAL(3, decode(3)->wait_ms);
    LONGS_EQUAL(3, decode(3.0)->wait_ms);
    CHECK_FALSE(decode(2.5).has_value());
    CHECK_FALSE(decode(1e30).has_value());
    CHECK_FALSE(decode(std::numeric_limits<std::uint64_t>::max()).has_value());
}
