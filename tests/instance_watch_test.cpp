/// @file
/// Tests of coordination/instance_watch.hpp.

#include <hyssopdeal/coordination/instance_watch.hpp>

#include <algorithm>
#include <array>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal::coordination;
using namespace hyssopdeal::protocol;

namespace
{

void merge_all(member_table& table, const std::vector<member_update>& updates)
{
    for (const auto& update : updates)
    {
        table.merge(update);
    }
}

} // namespace

TEST_GROUP(instance_watch_tests)
{
    member_table table;
};

TEST(instance_watch_tests, leaving_notice_overrides_an_outdated_list)
{
    table.merge(leaving_update(table, "w1", "d0"));
    CHECK_FALSE(accepts_work(table, "w1"));
    CHECK(updates_from_list(table, {{"w1", listed_state::live, 0}}).empty());
    CHECK_FALSE(accepts_work(table, "w1"));
}

TEST(instance_watch_tests, instance_missing_from_the_list_accepts_work)
{
    merge_all(table, updates_from_list(table, {}));
    CHECK(accepts_work(table, "w1"));
}

TEST(instance_watch_tests, higher_incarnation_accepts_work_again)
{
    merge_all(table,
              updates_from_list(table, {{"w1", listed_state::leaving, 3}}));
    CHECK_FALSE(accepts_work(table, "w1"));
    merge_all(table, updates_from_list(table, {{"w1", listed_state::live, 4}}));
    CHECK(accepts_work(table, "w1"));
    merge_all(table,
              updates_from_list(table, {{"w1", listed_state::leaving, 3}}));
    CHECK(accepts_work(table, "w1"));
}

TEST(instance_watch_tests, list_incarnation_does_not_apply_to_gossip_members)
{
    member_update member;
    member.name = "e1";
    member.kind = member_kind::entry;
    member.incarnation = 1'700'000'000'000;
    table.merge(member);
    merge_all(table, updates_from_list(table, {{"e1", listed_state::live, 9}}));
    CHECK(accepts_work(table, "e1"));
    merge_all(table,
              updates_from_list(table, {{"e1", listed_state::leaving, 9}}));
    CHECK_FALSE(accepts_work(table, "e1"));
}

TEST(instance_watch_tests, no_order_of_updates_revives_a_leaving_instance)
{
    std::mt19937_64 random{11};
    for (int round = 0; round < 1'000; ++round)
    {
        member_table mixed;
        std::array<int, 6> steps = {0, 1, 2, 3, 4, 5};
        std::shuffle(steps.begin(), steps.end(), random);
        bool is_leaving = false;
        for (const int step : steps)
        {
            if (step == 0)
            {
                mixed.merge(leaving_update(mixed, "w1", "d0"));
                is_leaving = true;
            }
            else
            {
                merge_all(mixed, updates_from_list(
                                     mixed, {{"w1", listed_state::live, 0}}));
            }
            CHECK(!is_leaving || !accepts_work(mixed, "w1"));
        }
    }
}
