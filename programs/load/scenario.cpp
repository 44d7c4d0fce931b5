#include "load/scenario.hpp"

namespace hyssopdeal::load
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds longest{86'400'000};
constexpr std::int64_t max_count = 1'000'000'000;

} // namespace

double scenario::rate_at(std::chrono::nanoseconds since) const
{
    double factor = 1;
    for (const auto& step : steps)
    {
        if (since >= step.at)
        {
            factor = step.factor;
        }
    }
    return rate_per_second * factor;
}

void describe(protocol::settings_fields& fields, size_distribution& value)
{
    constexpr double max_sigma = 5;
    fields.real("median", value.median, 1, max_count);
    fields.real("sigma", value.sigma, 0, max_sigma);
    fields.integer("most", value.most, 1, max_count);
}

void describe(protocol::settings_fields& fields, call_class& value)
{
    constexpr std::size_t max_keys = 1'000;
    constexpr double max_weight = 1e6;
    fields.text("name", value.name, protocol::text_rule::name,
                protocol::presence::required);
    fields.choice<call_kind>("kind", value.kind,
                             {{call_kind::stream, "stream"},
                              {call_kind::answer, "answer"},
                              {call_kind::lookup, "lookup"},
                              {call_kind::purchase, "purchase"}},
                             protocol::presence::required);
    fields.text("path", value.path, protocol::text_rule::url_path,
                protocol::presence::required);
    fields.real("weight", value.weight, 0, max_weight);
    fields.text_list("keys", value.keys, protocol::text_rule::any, max_keys);
    fields.object("prompt_tokens", value.prompt_tokens);
    fields.object("answer_tokens", value.answer_tokens);
    fields.integer("shared_prefixes", value.shared_prefixes, 0, max_count);
    fields.integer("shared_prefix_tokens", value.shared_prefix_tokens, 0,
                   max_count);
    fields.real("reconnect_share", value.reconnect_share, 0, 1);
    fields.real("slow_share", value.slow_share, 0, 1);
    fields.integer("slow_bytes_per_second", value.slow_bytes_per_second, 1,
                   max_count);
    fields.real("repeat_share", value.repeat_share, 0, 1);
    fields.duration("deadline_ms", value.deadline, milliseconds{0}, longest);
}

void describe(protocol::settings_fields& fields, rate_step& value)
{
    constexpr double max_factor = 1e6;
    fields.duration("at_ms", value.at, milliseconds{0}, longest,
                    protocol::presence::required);
    fields.real("factor", value.factor, 0, max_factor,
                protocol::presence::required);
}

void describe(protocol::settings_fields& fields, scenario& value)
{
    constexpr double max_rate = 1e6;
    constexpr std::size_t max_steps = 1'000;
    constexpr std::size_t max_classes = 64;
    fields.text("name", value.name, protocol::text_rule::name);
    fields.integer("seed", value.seed, 0, max_count);
    fields.real("rate_per_second", value.rate_per_second, 1e-3, max_rate);
    fields.duration("duration_ms", value.duration, milliseconds{1}, longest);
    fields.duration("drain_ms", value.drain, milliseconds{0}, longest);
    fields.integer("max_reconnects", value.max_reconnects, 0, max_count);
    fields.list("steps", value.steps, max_steps);
    fields.list("classes", value.classes, max_classes,
                protocol::presence::required);
    fields.check(
        "classes",
        [&value] {
            double sum = 0;
            for (const auto& entry : value.classes)
            {
                sum += entry.weight;
            }
            return sum > 0 ? std::string{} : std::string("no weight");
        },
        "at least one class with a weight above 0");
}

} // namespace hyssopdeal::load
