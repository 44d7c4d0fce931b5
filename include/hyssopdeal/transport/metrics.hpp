#ifndef HYSSOPDEAL_TRANSPORT_METRICS_HPP
#define HYSSOPDEAL_TRANSPORT_METRICS_HPP

/// @file
/// Counters and histograms that one thread writes and any thread reads, and
/// their Prometheus text.
///
/// Index: [counter] [duration_histogram] [prometheus_text]

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopdeal::transport
{

// [counter] ------------------------------------------------------------------

/// Counts up; one thread adds, any thread reads.
class counter
{
public:
    /// Adds to the count.
    void add(std::uint64_t amount = 1) noexcept
    {
        value_.store(value_.load(std::memory_order_relaxed) + amount,
                     std::memory_order_relaxed);
    }

    /// @return The count.
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0}; // written by its one owner thread
};

// [duration_histogram] -------------------------------------------------------

/// Counts durations in buckets that grow by the square root of ten, from
/// 100 us to 100 s. Any thread may add and read.
class duration_histogram
{
public:
    duration_histogram();
    duration_histogram(const duration_histogram&) = delete;
    duration_histogram& operator=(const duration_histogram&) = delete;
    ~duration_histogram();

    /// Counts a duration.
    void add(std::chrono::nanoseconds duration);

    /// Buckets of one or several histograms, added up.
    struct totals
    {
        std::vector<double> bounds_s;      ///< Upper bounds but the last.
        std::vector<std::uint64_t> counts; ///< One more than the bounds.
        double sum_s = 0;                  ///< Of all durations.
    };

    /// Adds this histogram's buckets to totals.
    void add_to(totals& into) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// [prometheus_text] ----------------------------------------------------------

/// One label of a sample.
struct metric_label
{
    std::string_view name;
    std::string_view value;
};

/// Writes the text that `/metrics` answers.
class prometheus_text
{
public:
    /// Begins a family; its samples follow.
    ///
    /// @param type `counter`, `gauge` or `histogram`.
    void family(std::string_view name, std::string_view type,
                std::string_view help);

    /// Adds a sample of the family.
    void sample(double value, const std::vector<metric_label>& labels = {});

    /// Adds the samples of a histogram.
    void samples(const duration_histogram::totals& values,
                 const std::vector<metric_label>& labels = {});

    /// @return The text so far.
    [[nodiscard]] const std::string& text() const noexcept;

private:
    void line(std::string_view suffix, double value,
              const std::vector<metric_label>& labels);

    std::string family_;
    std::string text_;
};

} // namespace hyssopdeal::transport

#endif
