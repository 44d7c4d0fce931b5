#include <hyssopdeal/transport/metrics.hpp>

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <fmt/format.h>

namespace hyssopdeal::transport
{

namespace
{

namespace bh = boost::histogram;

constexpr double lowest_s = 1e-4;
constexpr double highest_s = 100;
constexpr unsigned bucket_count = 12;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using bucket_storage =
    bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using buckets = bh::histogram<std::tuple<log_axis>, bucket_storage>;

} // namespace

struct duration_histogram::impl
{
    buckets counts = bh::make_histogram_with(
        bucket_storage{}, log_axis{bucket_count, lowest_s, highest_s});
    std::atomic<std::int64_t> sum_ns{0};
};

duration_histogram::duration_histogram()
    : impl_(std::make_unique<impl>())
{}

duration_histogram::~duration_histogram() = default;

void duration_histogram::add(std::chrono::nanoseconds duration)
{
    impl_->counts(std::chrono::duration<double>(duration).count());
    impl_->sum_ns.fetch_add(duration.count(), std::memory_order_relaxed);
}

void duration_histogram::add_to(totals& into) const
{
    const auto& axis = impl_->counts.axis();
    if (into.counts.empty())
    {
        for (int at = 0; at < axis.size(); ++at)
        {
            into.bounds_s.push_back(axis.value(at));
        }
        into.bounds_s.push_back(axis.value(axis.size()));
        into.counts.assign(into.bounds_s.size() + 1, 0);
    }
    for (int at = -1; at <= axis.size(); ++at)
    {
        into.counts[static_cast<std::size_t>(at) + 1] +=
            static_cast<std::uint64_t>(impl_->counts.at(at));
    }
    into.sum_s +=
        static_cast<double>(impl_->sum_ns.load(std::memory_order_relaxed)) /
        1e9;
}

void prometheus_text::family(std::string_view name, std::string_view type,
                             std::string_view help)
{
    family_ = name;
    text_ +=
        fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void prometheus_text::sample(double value,
                             const std::vector<metric_label>& labels)
{
    line("", value, labels);
}

void prometheus_text::samples(const duration_histogram::totals& values,
                              const std::vector<metric_label>& labels)
{
    std::uint64_t running = 0;
    for (std::size_t at = 0; at < values.counts.size(); ++at)
    {
        running += values.counts[at];
        const auto bound = at < values.bounds_s.size()
                               ? fmt::format("{:.4g}", values.bounds_s[at])
                               : std::string{"+Inf"};
        auto bucket = labels;
        bucket.push_back({"le", bound});
        line("_bucket", static_cast<double>(running), bucket);
    }
    line("_sum", values.sum_s, labels);
    line("_count", static_cast<double>(running), labels);
}

const std::string& prometheus_text::text() const noexcept
{
    return text_;
}

void prometheus_text::line(std::string_view suffix, double value,
                           const std::vector<metric_label>& labels)
{
    text_ += family_;
    text_ += suffix;
    std::string_view separator = "{";
    for (const auto& label : labels)
    {
        text_ += fmt::format("{}{}=\"", separator, label.name);
        for (const char letter : label.value)
        {
            if (letter == '"' || letter == '\\' || letter == '\n')
            {
                text_ += '\\';
            }
            text_ += letter == '\n' ? 'n' : letter;
        }
        text_ += '"';
        separator = ",";
    }
    text_ += labels.empty() ? " " : "} ";
    text_ += fmt::format("{}\n", value);
}

} // namespace hyssopdeal::transport
