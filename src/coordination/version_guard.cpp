#include <hyssopdeal/coordination/version_guard.hpp>

#include <algorithm>
#include <map>

namespace hyssopdeal::coordination
{

namespace
{

struct route_state
{
    std::uint64_t in_a_row = 0;
    bool tripped = false;
    transport::monotonic_time until{};
};

struct version_state
{
    double failure_rate = 0; ///< Moving average over all routes.
    std::map<std::string, route_state, std::less<>> routes;

    [[nodiscard]] bool out(transport::monotonic_time now) const
    {
        return std::any_of(
            routes.begin(), routes.end(), [now](const auto& item) {
                return item.second.tripped && now < item.second.until;
            });
    }
};

} // namespace

struct version_guard::impl
{
    version_guard_settings settings;
    std::map<std::string, version_state, std::less<>> versions;

    version_state& state_of(std::string_view version)
    {
        const auto found = versions.find(version);
        return found != versions.end() ? found->second
                                       : versions[std::string{version}];
    }

    [[nodiscard]] bool all_others_fail(std::string_view version) const
    {
        std::size_t others = 0;
        std::size_t failing = 0;
        for (const auto& [name, state] : versions)
        {
            if (name == version)
            {
                continue;
            }
            ++others;
            failing += state.failure_rate >= settings.peer_failure_limit;
        }
        return others > 0 && failing == others;
    }
};

version_guard::version_guard(version_guard_settings settings)
    : impl_{std::make_unique<impl>()}
{
    impl_->settings = settings;
}

version_guard::version_guard(version_guard&&) noexcept = default;
version_guard::~version_guard() = default;

std::vector<guard_trip> version_guard::on_answer(transport::monotonic_time now,
                                                 std::string_view version,
                                                 std::string_view route,
                                                 answer_kind answer)
{
    const auto& settings = impl_->settings;
    auto& state = impl_->state_of(version);
    const bool bad = answer != answer_kind::whole;
    state.failure_rate +=
        settings.memory * ((bad ? 1.0 : 0.0) - state.failure_rate);
    auto& on_route = state.routes[std::string{route}];
    if (!bad)
    {
        on_route.in_a_row = 0;
        return {};
    }
    ++on_route.in_a_row;
    if (on_route.in_a_row < settings.failures_in_a_row ||
        impl_->all_others_fail(version))
    {
        return {};
    }
    const bool fresh = !on_route.tripped || now >= on_route.until;
    on_route.tripped = true;
    on_route.until = now + settings.hold;
    if (!fresh)
    {
        return {};
    }
    return {{std::string{version}, std::string{route}, on_route.in_a_row}};
}

void version_guard::on_new_move(std::string_view version)
{
    const auto found = impl_->versions.find(version);
    if (found != impl_->versions.end())
    {
        impl_->versions.erase(found);
    }
}

std::vector<protocol::version_share> version_guard::effective_shares(
    transport::monotonic_time now,
    const std::vector<protocol::version_share>& declared) const
{
    auto shares = declared;
    if (shares.size() < 2)
    {
        return shares;
    }
    auto& guarded = shares.back();
    const auto found = impl_->versions.find(guarded.version);
    if (found == impl_->versions.end() || !found->second.out(now))
    {
        return shares;
    }
    const auto others = static_cast<double>(shares.size() - 1);
    const double left = 1 - guarded.share;
    guarded.share = 0;
    for (std::size_t i = 0; i + 1 < shares.size(); ++i)
    {
        auto& share = shares[i].share;
        share = left > 0 ? share / left : 1 / others;
    }
    return shares;
}

std::vector<guard_trip>
version_guard::trips(transport::monotonic_time now) const
{
    std::vector<guard_trip> result;
    for (const auto& [version, state] : impl_->versions)
    {
        for (const auto& [route, on_route] : state.routes)
        {
            if (on_route.tripped && now < on_route.until)
            {
                result.push_back({version, route, on_route.in_a_row});
            }
        }
    }
    return result;
}

} // namespace hyssopdeal::coordination
