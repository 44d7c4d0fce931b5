#include <hyssopdeal/coordination/version_shadow.hpp>

namespace hyssopdeal::coordination
{

version_shadow::version_shadow(version_shadow_settings settings)
    : settings_{settings}
{}

std::string_view
version_shadow::choose(const std::vector<protocol::version_share>& declared,
                       const std::vector<protocol::version_share>& effective,
                       protocol::repeatability repeats, std::mt19937_64& random)
{
    if (declared.size() < 2 || open_ >= settings_.most_open ||
        repeats == protocol::repeatability::at_most_once)
    {
        return {};
    }
    const auto& tested = declared.back();
    const bool taken_out = effective.back().share < tested.share;
    if (taken_out || tested.share > settings_.canary_share)
    {
        return {};
    }
    const double part =
        tested.share > 0 ? settings_.part_at_canary : settings_.part_before;
    if (std::uniform_real_distribution<double>{}(random) >= part)
    {
        return {};
    }
    ++open_;
    return tested.version;
}

void version_shadow::on_ended()
{
    --open_;
}

} // namespace hyssopdeal::coordination
