#include "load/report.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include <fmt/format.h>

namespace hyssopdeal::load
{

namespace
{

constexpr auto max_number = std::numeric_limits<std::int64_t>::max();
constexpr double max_real = 1e15;

double milliseconds_of(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// Smallest value that at least the given part of the values do not pass.
double quantile(std::vector<double>& values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto at = std::lround(part * last);
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

void count_outcome(class_summary& row, call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::whole:
        ++row.whole;
        break;
    case call_outcome::not_run:
        ++row.not_run;
        break;
    case call_outcome::may_have_run:
        ++row.may_have_run;
        break;
    case call_outcome::failed:
        ++row.failed;
        break;
    case call_outcome::cut_short:
        ++row.cut_short;
        break;
    case call_outcome::wrong:
        ++row.wrong;
        break;
    }
}

class_summary summarise_class(const std::string& name, std::size_t index,
                              const std::vector<call_result>& calls)
{
    constexpr double median = 0.5;
    constexpr double p95 = 0.95;
    constexpr double p99 = 0.99;
    class_summary row;
    row.name = name;
    std::vector<double> first;
    std::vector<double> total;
    for (const auto& entry : calls)
    {
        if (entry.class_index != index)
        {
            continue;
        }
        ++row.calls;
        row.tokens += entry.tokens;
        row.reconnects += entry.reconnects;
        count_outcome(row, entry.outcome);
        if (entry.outcome == call_outcome::whole)
        {
            first.push_back(milliseconds_of(entry.first));
            total.push_back(milliseconds_of(entry.total));
        }
    }
    row.first_p50_ms = quantile(first, median);
    row.first_p95_ms = quantile(first, p95);
    row.first_p99_ms = quantile(first, p99);
    row.total_p50_ms = quantile(total, median);
    row.total_p99_ms = quantile(total, p99);
    return row;
}

std::string ratio(double old_value, double new_value)
{
    return old_value == 0 ? std::string("-")
                          : fmt::format("{:.3f}", new_value / old_value);
}

} // namespace

void describe(protocol::settings_fields& fields, class_summary& value)
{
    fields.text("name", value.name);
    fields.integer("calls", value.calls, 0, max_number);
    fields.integer("whole", value.whole, 0, max_number);
    fields.integer("not_run", value.not_run, 0, max_number);
    fields.integer("may_have_run", value.may_have_run, 0, max_number);
    fields.integer("failed", value.failed, 0, max_number);
    fields.integer("cut_short", value.cut_short, 0, max_number);
    fields.integer("wrong", value.wrong, 0, max_number);
    fields.integer("reconnects", value.reconnects, 0, max_number);
    fields.integer("tokens", value.tokens, 0, max_number);
    fields.real("first_p50_ms", value.first_p50_ms, 0, max_real);
    fields.real("first_p95_ms", value.first_p95_ms, 0, max_real);
    fields.real("first_p99_ms", value.first_p99_ms, 0, max_real);
    fields.real("total_p50_ms", value.total_p50_ms, 0, max_real);
    fields.real("total_p99_ms", value.total_p99_ms, 0, max_real);
}

void describe(protocol::settings_fields& fields, run_report& value)
{
    constexpr std::size_t max_classes = 64;
    fields.text("scenario", value.scenario);
    fields.integer("seed", value.seed, 0, max_number);
    fields.real("seconds", value.seconds, 0, max_real);
    fields.real("tokens_per_second", value.tokens_per_second, 0, max_real);
    fields.integer("repeated_tokens", value.repeated_tokens, 0, max_number);
    fields.integer("generated_tokens", value.generated_tokens, 0, max_number);
    fields.integer("purchases_checked", value.purchases_checked, 0, max_number);
    fields.integer("purchases_broken", value.purchases_broken, 0, max_number);
    fields.list("classes", value.classes, max_classes);
}

run_report summarise(const scenario& plan, const run_results& results)
{
    run_report report;
    report.scenario = plan.name;
    report.seed = plan.seed;
    report.purchases_checked = results.purchases_checked;
    report.purchases_broken = results.purchases_broken;
    std::uint64_t tokens = 0;
    std::chrono::nanoseconds last{};
    for (const auto& entry : results.calls)
    {
        tokens += entry.tokens;
        last = std::max(last, entry.arrived + entry.total);
    }
    report.seconds = std::chrono::duration<double>(last).count();
    report.tokens_per_second =
        report.seconds == 0 ? 0 : static_cast<double>(tokens) / report.seconds;
    if (!results.engines.empty())
    {
        const auto& before = results.engines.front();
        const auto& after = results.engines.back();
        report.repeated_tokens = after.repeated_tokens - before.repeated_tokens;
        report.generated_tokens =
            after.generated_tokens - before.generated_tokens;
    }
    for (std::size_t at = 0; at < plan.classes.size(); ++at)
    {
        report.classes.push_back(
            summarise_class(plan.classes[at].name, at, results.calls));
    }
    return report;
}

bool promises_kept(const run_report& report)
{
    const auto kept = [](const class_summary& row) {
        return row.wrong == 0 && row.cut_short == 0;
    };
    return report.purchases_broken == 0 &&
           std::all_of(report.classes.begin(), report.classes.end(), kept);
}

std::string table_text(const run_report& report)
{
    auto text = fmt::format(
        "{} seed={} seconds={:.1f} tokens_per_second={:.0f} "
        "repeated_tokens={} generated_tokens={} purchases_checked={} "
        "purchases_broken={}\n{:<14} {:>7} {:>7} {:>7} {:>7} {:>6} {:>5} "
        "{:>5} {:>6} {:>9} {:>9} {:>9} {:>9}\n",
        report.scenario, report.seed, report.seconds, report.tokens_per_second,
        report.repeated_tokens, report.generated_tokens,
        report.purchases_checked, report.purchases_broken, "class", "calls",
        "whole", "not_run", "may_run", "failed", "cut", "wrong", "resume",
        "first_p50", "first_p95", "first_p99", "total_p99");
    for (const auto& row : report.classes)
    {
        text += fmt::format(
            "{:<14} {:>7} {:>7} {:>7} {:>7} {:>6} {:>5} {:>5} {:>6} "
            "{:>9.2f} {:>9.2f} {:>9.2f} {:>9.2f}\n",
            row.name, row.calls, row.whole, row.not_run, row.may_have_run,
            row.failed, row.cut_short, row.wrong, row.reconnects,
            row.first_p50_ms, row.first_p95_ms, row.first_p99_ms,
            row.total_p99_ms);
    }
    return text;
}

std::string csv_text(const scenario& plan, const run_results& results)
{
    std::string text = "class,arrived_ms,first_ms,total_ms,outcome,status,"
                       "tokens,reconnects,version,reason\n";
    for (const auto& entry : results.calls)
    {
        text += fmt::format(
            "{},{:.3f},{:.3f},{:.3f},{},{},{},{},{},{}\n",
            plan.classes[entry.class_index].name,
            milliseconds_of(entry.arrived), milliseconds_of(entry.first),
            milliseconds_of(entry.total), to_string(entry.outcome),
            entry.status, entry.tokens, entry.reconnects, entry.version,
            entry.reason);
    }
    return text;
}

std::string compare_text(const run_report& old_report,
                         const run_report& new_report)
{
    auto text = fmt::format(
        "{} against {}: tokens_per_second x{} repeated_tokens x{}\n"
        "{:<14} {:>9} {:>9} {:>9} {:>9} {:>9}\n",
        new_report.scenario, old_report.scenario,
        ratio(old_report.tokens_per_second, new_report.tokens_per_second),
        ratio(static_cast<double>(old_report.repeated_tokens),
              static_cast<double>(new_report.repeated_tokens)),
        "class", "whole", "first_p50", "first_p95", "first_p99", "total_p99");
    for (const auto& row : new_report.classes)
    {
        const auto same =
            std::find_if(old_report.classes.begin(), old_report.classes.end(),
                         [&row](const class_summary& other) {
                             return other.name == row.name;
                         });
        if (same == old_report.classes.end())
        {
            text += fmt::format("{:<14} only in the new one\n", row.name);
            continue;
        }
        text += fmt::format("{:<14} {:>9} {:>9} {:>9} {:>9} {:>9}\n", row.name,
                            ratio(static_cast<double>(same->whole),
                                  static_cast<double>(row.whole)),
                            ratio(same->first_p50_ms, row.first_p50_ms),
                            ratio(same->first_p95_ms, row.first_p95_ms),
                            ratio(same->first_p99_ms, row.first_p99_ms),
                            ratio(same->total_p99_ms, row.total_p99_ms));
    }
    return text;
}

} // namespace hyssopdeal::load
