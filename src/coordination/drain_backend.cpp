#include <hyssopdeal/coordination/drain_backend.hpp>

#include <map>
#include <optional>

namespace hyssopdeal::coordination
{

namespace
{

using transport::monotonic_time;

struct server_state
{
    draining_server server;
    std::optional<monotonic_time> idle_since; ///< All reports since then.
    monotonic_time last_idle{};               ///< Newest of them.
    monotonic_time heard{};                   ///< Newest answer of any kind.
    monotonic_time ask_at{};
};

} // namespace

struct drain_backend::impl
{
    drain_backend_settings settings;
    std::map<std::string, server_state, std::less<>> servers;
};

drain_backend::drain_backend(drain_backend_settings settings)
    : impl_{std::make_unique<impl>()}
{
    impl_->settings = settings;
}

drain_backend::drain_backend(drain_backend&&) noexcept = default;
drain_backend::~drain_backend() = default;

void drain_backend::set_leaving(monotonic_time now,
                                const std::vector<draining_server>& servers)
{
    std::map<std::string, server_state, std::less<>> next;
    for (const auto& server : servers)
    {
        const auto known = impl_->servers.find(server.name);
        auto& state = next[server.name];
        if (known != impl_->servers.end())
        {
            state = known->second;
        }
        else
        {
            state.heard = now;
        }
        state.server = server;
    }
    impl_->servers = std::move(next);
}

std::vector<draining_server> drain_backend::advance(monotonic_time now)
{
    std::vector<draining_server> result;
    for (auto& [name, state] : impl_->servers)
    {
        if (now >= state.ask_at)
        {
            state.ask_at = now + impl_->settings.ask_limit;
            result.push_back(state.server);
        }
    }
    return result;
}

void drain_backend::on_load(
    monotonic_time now, std::string_view server,
    const transport::result<protocol::engine_load>& load)
{
    const auto found = impl_->servers.find(server);
    if (found == impl_->servers.end())
    {
        return;
    }
    auto& state = found->second;
    state.ask_at = now + impl_->settings.ask_interval;
    if (!load)
    {
        // A lost report says nothing; the idle time has to begin anew.
        state.idle_since.reset();
        return;
    }
    state.heard = now;
    if (load->running + load->queued > 0)
    {
        state.idle_since.reset();
        return;
    }
    state.idle_since = state.idle_since.value_or(now);
    state.last_idle = now;
}

bool drain_backend::drained(monotonic_time now, std::string_view server) const
{
    const auto found = impl_->servers.find(server);
    if (found == impl_->servers.end())
    {
        return false;
    }
    const auto& state = found->second;
    const auto& settings = impl_->settings;
    const bool idle = state.idle_since &&
                      state.last_idle - *state.idle_since >= settings.idle_for;
    return idle || now - state.heard >= settings.silent_for;
}

} // namespace hyssopdeal::coordination
