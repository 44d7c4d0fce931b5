#include "load/plan_maker.hpp"

#include <array>
#include <vector>

#include <fmt/format.h>

namespace hyssopdeal::load
{

namespace
{

constexpr std::size_t bytes_per_token = 4;
constexpr std::array<std::string_view, 16> syllables = {
    "aro ", "sul ", "mar ", "vin ", "oco ", "pera", "maca", "onda",
    "alga", "duna", "cais", "lima", "sal ", "rio ", "foz ", "mel "};

std::vector<double> weights_of(const scenario& plan)
{
    std::vector<double> weights;
    for (const auto& entry : plan.classes)
    {
        weights.push_back(entry.weight);
    }
    return weights;
}

} // namespace

plan_maker::plan_maker(const scenario& plan)
    : plan_(plan),
      random_(plan.seed)
{
    const auto weights = weights_of(plan);
    classes_ = {weights.begin(), weights.end()};
}

planned_call plan_maker::next()
{
    constexpr double lowest_rate = 1e-3;
    std::exponential_distribution<double> gaps(
        std::max(lowest_rate, plan_.rate_at(now_)));
    now_ += std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(gaps(random_)));
    planned_call call;
    call.arrives = now_;
    call.class_index = classes_(random_);
    fill(call, plan_.classes[call.class_index]);
    ++made_;
    return call;
}

void plan_maker::fill(planned_call& call, const call_class& entry)
{
    auto& plan = call.plan;
    plan.kind = entry.kind;
    plan.path = entry.path;
    plan.deadline = entry.deadline;
    plan.max_reconnects = plan_.max_reconnects;
    plan.first_entry = made_;
    if (!entry.keys.empty())
    {
        plan.key = entry.keys[made_ % entry.keys.size()];
    }
    switch (entry.kind)
    {
    case call_kind::lookup:
        plan.path += fmt::format("/{}", random_() % 100'000);
        return;
    case call_kind::purchase:
        plan.idempotency_key =
            fmt::format("{}-{}-{:016x}", plan_.seed, made_, random_());
        plan.body = fmt::format("{{\"item\":{}}}", random_() % 1'000);
        plan.repeats = chance(entry.repeat_share) ? 1 : 0;
        return;
    case call_kind::stream:
    case call_kind::answer:
        break;
    }
    const auto tokens = entry.answer_tokens.draw(random_);
    plan.body = fmt::format(
        "{{\"messages\":[{{\"role\":\"user\",\"content\":\"{}[tokens={}]\"}}],"
        "\"max_tokens\":{},\"stream\":{}}}",
        prompt(entry), tokens, tokens, entry.kind == call_kind::stream);
    if (entry.kind == call_kind::stream && chance(entry.reconnect_share))
    {
        plan.leave_after = 1 + tokens / 2;
    }
    if (chance(entry.slow_share))
    {
        plan.slow_bytes_per_second = entry.slow_bytes_per_second;
    }
}

std::string plan_maker::prompt(const call_class& entry)
{
    std::string text;
    if (entry.shared_prefixes != 0)
    {
        const auto which = random_() % entry.shared_prefixes;
        text += words(entry.shared_prefix_tokens, which);
    }
    return text + words(entry.prompt_tokens.draw(random_), random_());
}

std::string plan_maker::words(std::uint32_t tokens, std::uint64_t seed)
{
    std::mt19937_64 own(seed);
    std::string text;
    text.reserve(tokens * bytes_per_token);
    for (std::uint32_t at = 0; at < tokens; ++at)
    {
        text += syllables[own() % syllables.size()];
    }
    return text;
}

bool plan_maker::chance(double share)
{
    return std::bernoulli_distribution(share)(random_);
}

} // namespace hyssopdeal::load
