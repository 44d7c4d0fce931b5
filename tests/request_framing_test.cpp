/// @file
/// Tests of transport/request_framing.hpp.

#include "transport/request_framing.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using hyssopdeal::transport::request_framing;

namespace
{

const std::string with_length = "POST / HTTP/1.1\r\nContent-Length: 6\r\n\r\n";
const std::string in_chunks =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_GROUP(request_framing_tests)
{
    request_framing framing;

    void feed_bytewise(const std::string& bytes)
    {
        for (const char byte : bytes)
        {
            framing.feed({&byte, 1});
        }
    }
};

TEST(request_framing_tests, body_of_announced_length_is_counted)
{
    feed_bytewise(with_length + "a\r\nb\r\n");
    LONGS_EQUAL(6, framing.body_bytes());
    LONGS_EQUAL(2, framing.body_line_ends());
    framing.begin_next();
    LONGS_EQUAL(0, framing.body_bytes());
    framing.feed(with_length + "123");
    LONGS_EQUAL(3, framing.body_bytes());
}

// Guards against a body in chunks that is counted as if it had been allocated
// in its size.
TEST(request_framing_tests, bodies_in_chunks_are_not_counted)
{
    framing.feed(in_chunks + "3\r\nabc\r\n");
    LONGS_EQUAL(0, framing.body_bytes());
    framing.feed("0\r\n\r\n");
    framing.begin_next();
    framing.feed(with_length + "123456");
    LONGS_EQUAL(6, framing.body_bytes());
}

// Guards against a request that hides its chunks by coming together with the
// one before it.
TEST(request_framing_tests, pipelined_body_in_chunks_is_not_counted)
{
    framing.feed(with_length + "123456" + in_chunks + "3\r\n");
    LONGS_EQUAL(0, framing.body_bytes());
    framing.begin_next();
    framing.feed("abc\r\n");
    LONGS_EQUAL(0, framing.body_bytes());
}

TEST(request_framing_tests, nothing_is_counted_of_what_cannot_be_parsed)
{
    framing.feed(with_length + "123456");
    framing.feed("\1\2\3");
    LONGS_EQUAL(0, framing.body_bytes());
    framing.begin_next();
    framing.feed(with_length + "123456");
    LONGS_EQUAL(0, framing.body_bytes());
}
