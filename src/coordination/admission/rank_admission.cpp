/// @file
/// Refusal of less urgent requests at a gateway.

#include <hyssopdeal/coordination/admission/rank_admission.hpp>

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::monotonic_time;
using seconds = std::chrono::duration<double>;

rank_admission::rank_admission(rank_admission_settings settings)
    : settings_(settings)
{}

void rank_admission::on_server_load_seen(monotonic_time now,
                                         const std::string& service)
{
    load_seen_at_[service] = now;
}

bool rank_admission::controlled(monotonic_time now,
                                const std::string& service) const
{
    const auto found = load_seen_at_.find(service);
    return found != load_seen_at_.end() &&
           now - found->second < settings_.load_lifetime;
}

double rank_admission::share(monotonic_time now, const std::string& service,
                             std::uint32_t rank) const
{
    const auto ranks = turns_.find(service);
    if (ranks == turns_.end() || !controlled(now, service))
    {
        return 0;
    }
    const auto found = ranks->second.find(rank);
    if (found == ranks->second.end())
    {
        return 0;
    }
    const seconds overdue = now - ordered_at_ - settings_.orders_valid_for;
    const double kept =
        std::clamp(1 - overdue / settings_.decay_time, 0.0, 1.0);
    return found->second * kept;
}

std::optional<milliseconds>
rank_admission::on_request(monotonic_time now, const std::string& service,
                           std::uint32_t rank, std::string_view attempt_id)
{
    if (!controlled(now, service))
    {
        return std::nullopt;
    }
    constexpr double two_to_64 = 18'446'744'073'709'551'616.0;
    const double drawn =
        static_cast<double>(XXH3_64bits(attempt_id.data(), attempt_id.size())) /
        two_to_64;
    const double refused = share(now, service, rank);
    if (drawn >= refused)
    {
        ++counts_[service][rank].asked;
        return std::nullopt;
    }
    ++yielded_[rank];
    const auto spread = settings_.max_retry_after - settings_.min_retry_after;
    return settings_.min_retry_after +
           std::chrono::duration_cast<milliseconds>(spread * (drawn / refused));
}

void rank_admission::on_late(monotonic_time now, const std::string& service,
                             std::uint32_t rank)
{
    if (controlled(now, service))
    {
        ++counts_[service][rank].late;
    }
}

protocol::service_pressures rank_admission::report(monotonic_time now)
{
    auto result = std::exchange(counts_, {});
    for (auto& [service, ranks] : result)
    {
        for (auto& [rank, counts] : ranks)
        {
            counts.turn = share(now, service, rank);
        }
    }
    return result;
}

void rank_admission::set_orders(monotonic_time now,
                                const protocol::service_turns& turns)
{
    ordered_at_ = now;
    turns_ = turns;
}

} // namespace hyssopdeal::coordination
