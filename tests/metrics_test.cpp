/// @file
/// Tests of transport/metrics.hpp.

#include <hyssopdeal/transport/metrics.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal::transport;
using namespace std::chrono_literals;

TEST_GROUP(metrics_tests){};

TEST(metrics_tests, histograms_add_up_with_all_their_values)
{
    duration_histogram left;
    duration_histogram right;
    left.add(1us);
    left.add(2ms);
    right.add(2ms);
    right.add(1000s);
    duration_histogram::totals sum;
    left.add_to(sum);
    right.add_to(sum);
    std::uint64_t count = 0;
    for (const auto bucket : sum.counts)
    {
        count += bucket;
    }
    LONGS_EQUAL(4, count);
    LONGS_EQUAL(1, sum.counts.front());
    LONGS_EQUAL(1, sum.counts.back());
    DOUBLES_EQUAL(1000.004001, sum.sum_s, 1e-6);
}

TEST(metrics_tests, writes_prometheus_text)
{
    prometheus_text text;
    text.family("requests_total", "counter", "Requests.");
    text.sample(3, {{"kind", "a\"b\nc"}});
    text.sample(4);
    STRCMP_EQUAL("# HELP requests_total Requests.\n"
                 "# TYPE requests_total counter\n"
                 "requests_total{kind=\"a\\\"b\\nc\"} 3\n"
                 "requests_total 4\n",
                 text.text().c_str());
}

TEST(metrics_tests, histogram_buckets_are_cumulative)
{
    duration_histogram times;
    times.add(2ms);
    times.add(200ms);
    duration_histogram::totals sum;
    times.add_to(sum);
    prometheus_text text;
    text.family("time_seconds", "histogram", "Times.");
    text.samples(sum);
    STRCMP_CONTAINS("time_seconds_bucket{le=\"0.01\"} 1\n",
                    text.text().c_str());
    STRCMP_CONTAINS("time_seconds_bucket{le=\"+Inf\"} 2\n",
                    text.text().c_str());
    STRCMP_CONTAINS("time_seconds_count 2\n", text.text().c_str());
}

TEST(metrics_tests, is_read_while_another_thread_writes)
{
    counter count;
    duration_histogram times;
    std::thread writer{[&] {
        for (int round = 0; round < 10'000; ++round)
        {
            count.add();
            times.add(1ms);
        }
    }};
    duration_histogram::totals sum;
    while (count.value() < 10'000)
    {
        sum = {};
        times.add_to(sum);
    }
    writer.join();
    LONGS_EQUAL(10'000, count.value());
}
