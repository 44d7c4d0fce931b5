#include <hyssopdeal/coordination/move_plan.hpp>

#include <algorithm>
#include <array>

namespace hyssopdeal::coordination
{

namespace
{

using std::chrono::milliseconds;

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds{
        static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

std::vector<double> shares_of(const move_plan_settings& settings,
                              double canary_share)
{
    const double canary = std::clamp(canary_share, 0.0001, 1.0);
    std::vector<double> shares;
    if (settings.shadow_stay.count() > 0)
    {
        shares.push_back(0);
    }
    shares.push_back(std::min(settings.first_share, canary));
    for (const double share : {canary, 0.05, 0.1, 0.25, 0.5, 1.0})
    {
        if (share > shares.back())
        {
            shares.push_back(share);
        }
    }
    return shares;
}

milliseconds shortest_stay(const move_plan_settings& settings, double share,
                           double requests_per_second)
{
    if (share <= 0)
    {
        return settings.shadow_stay;
    }
    if (requests_per_second <= 0)
    {
        return settings.shortest_stay;
    }
    const double seconds = settings.samples / (requests_per_second * share);
    const double capped = std::min(
        seconds * 1'000, static_cast<double>(settings.sample_wait.count()));
    return std::max(settings.shortest_stay,
                    milliseconds{static_cast<std::int64_t>(capped)});
}

constexpr std::array<double, 6> stay_weights{0.4, 0.25, 0.15, 0.1, 0.06, 0.04};

/// Part of the time left over that a step gets; none at share zero.
double weight_of(const std::vector<move_step>& steps, std::size_t at)
{
    if (steps[at].share <= 0)
    {
        return 0;
    }
    const std::size_t with_share = steps.front().share <= 0 ? at - 1 : at;
    return stay_weights.at(std::min(with_share, stay_weights.size() - 1));
}

} // namespace

move_plan make_plan(const move_plan_settings& settings, const plan_input& input)
{
    move_plan plan;
    milliseconds needed{};
    double weight_sum = 0;
    const auto shares = shares_of(settings, input.canary_share);
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        auto& step = plan.steps.emplace_back();
        step.share = shares[i];
        const bool last = i + 1 == shares.size();
        if (last || i < input.from_step)
        {
            continue;
        }
        step.stay =
            shortest_stay(settings, step.share, input.requests_per_second);
        needed += step.stay;
        weight_sum += weight_of(plan.steps, i);
    }
    const auto left = input.complete_by - input.now - input.load_time;
    const auto reserve = scaled(std::chrono::duration_cast<milliseconds>(
                                    input.complete_by - input.ordered_at),
                                settings.reserve);
    const auto extra = std::max(std::chrono::duration_cast<milliseconds>(left) -
                                    reserve - needed,
                                milliseconds{0});
    auto at = input.now + input.load_time;
    for (std::size_t i = input.from_step; i + 1 < plan.steps.size(); ++i)
    {
        auto& stay = plan.steps[i].stay;
        const double weight = weight_of(plan.steps, i);
        if (weight > 0)
        {
            stay = std::clamp(stay + scaled(extra, weight / weight_sum),
                              settings.shortest_stay, settings.longest_stay);
        }
        at += stay;
    }
    plan.expected_at = at;
    return plan;
}

} // namespace hyssopdeal::coordination
