/// @file
/// Tests of coordination/prefix_index.hpp.

#include <hyssopdeal/coordination/prefix_index.hpp>

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal::coordination;

namespace
{

std::string make_text(std::uint64_t seed, std::size_t blocks)
{
    std::mt19937_64 random{seed};
    std::string text;
    while (text.size() < blocks * prefix_block_bytes)
    {
        text.push_back(static_cast<char>('a' + random() % 26));
    }
    return text;
}

} // namespace

TEST_GROUP(prefix_index_tests)
{
    prefix_index index{{8, 128, 0.5}};
    prefix_index::match_list matches;
};

TEST(prefix_index_tests, block_hash_covers_all_previous_blocks)
{
    const auto common = make_text(1, 3);
    const auto left = make_prefix_chain(common + make_text(2, 1));
    const auto right = make_prefix_chain(common + make_text(3, 1) + "rest");
    LONGS_EQUAL(4, left.size);
    LONGS_EQUAL(4, right.size);
    for (std::size_t i = 0; i < 3; ++i)
    {
        CHECK(left.blocks.at(i) == right.blocks.at(i));
    }
    CHECK(left.blocks.at(3) != right.blocks.at(3));
}

TEST(prefix_index_tests, finds_longest_prefixes_first)
{
    const auto shared = make_text(1, 2);
    index.on_dispatch(1, make_prefix_chain(shared));
    index.on_dispatch(2, make_prefix_chain(shared + make_text(2, 4)));
    const auto chain = make_prefix_chain(shared + make_text(2, 6));
    LONGS_EQUAL(2, index.find(chain, matches));
    LONGS_EQUAL(2, matches.at(0).server);
    DOUBLES_EQUAL(6 * 64, matches.at(0).cached_tokens, 0);
    LONGS_EQUAL(1, matches.at(1).server);
    DOUBLES_EQUAL(2 * 64, matches.at(1).cached_tokens, 0);
}

TEST(prefix_index_tests, gap_reduces_weight_until_resync)
{
    const auto chain = make_prefix_chain(make_text(1, 2));
    index.on_dispatch(1, chain);
    index.on_event(1, {1, cache_event_kind::stored, 77});
    LONGS_EQUAL(1, index.find(chain, matches));
    DOUBLES_EQUAL(128, matches.at(0).cached_tokens, 0);
    index.on_event(1, {5, cache_event_kind::stored, 78});
    LONGS_EQUAL(1, index.find(chain, matches));
    DOUBLES_EQUAL(64, matches.at(0).cached_tokens, 0);
    const auto later = make_prefix_chain(make_text(2, 2));
    index.on_dispatch(1, later);
    LONGS_EQUAL(1, index.find(later, matches));
    DOUBLES_EQUAL(128, matches.at(0).cached_tokens, 0);
    index.resync(1);
    LONGS_EQUAL(0, index.find(chain, matches));
    LONGS_EQUAL(1, index.find(later, matches));
}

TEST(prefix_index_tests, out_of_order_and_repeated_events_are_ignored)
{
    const auto chain = make_prefix_chain(make_text(1, 1));
    index.on_event(1, {1, cache_event_kind::stored, chain.blocks.at(0)});
    index.on_event(1, {2, cache_event_kind::evicted, chain.blocks.at(0)});
    index.on_event(1, {1, cache_event_kind::stored, chain.blocks.at(0)});
    LONGS_EQUAL(0, index.find(chain, matches));
    LONGS_EQUAL(0, index.blocks(1));
}

TEST(prefix_index_tests, index_is_bounded_and_keeps_hot_prefix)
{
    const auto hot = make_prefix_chain(make_text(1, 8));
    for (std::uint64_t i = 0; i < 500; ++i)
    {
        index.on_dispatch(3, hot);
        index.on_dispatch(3, make_prefix_chain(make_text(100 + i, 8)));
        CHECK(index.blocks(3) <= 128);
    }
    LONGS_EQUAL(1, index.find(hot, matches));
    LONGS_EQUAL(0, index.find(make_prefix_chain(make_text(100, 8)), matches));
    index.clear(3);
    LONGS_EQUAL(0, index.blocks(3));
    LONGS_EQUAL(0, index.find(hot, matches));
}

TEST(prefix_index_tests, block_counts_stay_exact_under_random_events)
{
    std::mt19937_64 random{9};
    std::array<std::uint64_t, 8> number{};
    for (int i = 0; i < 20'000; ++i)
    {
        const auto server = static_cast<server_index>(random() % 8);
        const auto kind = random() % 3 == 0 ? cache_event_kind::evicted
                                            : cache_event_kind::stored;
        index.on_event(server, {++number.at(server), kind, 1 + random() % 600});
    }
    std::uint32_t held = 0;
    std::uint32_t found = 0;
    for (server_index server = 0; server < 8; ++server)
    {
        held += index.blocks(server);
    }
    for (std::uint64_t block = 1; block <= 600; ++block)
    {
        prefix_chain chain;
        chain.blocks.at(0) = block;
        chain.size = 1;
        found += static_cast<std::uint32_t>(index.find(chain, matches));
    }
    LONGS_EQUAL(held, found);
}
