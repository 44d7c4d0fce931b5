#include <hyssopdeal/coordination/limiter.hpp>

#include <algorithm>
#include <cmath>

namespace hyssopdeal::coordination
{

namespace
{

using std::chrono::milliseconds;
using transport::monotonic_time;
using transport::reason;

/// Applies an operation to each amount of two allotments.
template <class Operation>
allotment combine(const allotment& left, const allotment& right,
                  Operation operation) noexcept
{
    return {operation(left.requests_per_second, right.requests_per_second),
            operation(left.request_burst, right.request_burst),
            operation(left.tokens_per_second, right.tokens_per_second),
            operation(left.token_burst, right.token_burst),
            operation(left.concurrent_streams, right.concurrent_streams)};
}

constexpr milliseconds demand_half_life{2'000};
constexpr milliseconds stream_retry_after{1'000};
constexpr milliseconds max_retry_after{60'000};

/// A token bucket whose rate and depth may change.
class token_bucket
{
public:
    void set_level(double level) noexcept
    {
        level_ = level;
    }

    /// Refills at a rate for the elapsed time and truncates to the depth.
    void refill(monotonic_time from, monotonic_time to, double rate,
                double depth) noexcept
    {
        const double seconds = std::chrono::duration<double>(to - from).count();
        level_ = std::min(level_ + rate * std::max(seconds, 0.0), depth);
    }

    [[nodiscard]] bool holds(double amount) const noexcept
    {
        return level_ + 1e-9 >= amount;
    }

    void take(double amount) noexcept
    {
        level_ -= amount;
    }

    /// Returns an unused amount. Never lowers a level above the depth.
    void refund(double amount, double depth) noexcept
    {
        level_ = std::min(level_ + amount, std::max(depth, level_));
    }

    [[nodiscard]] milliseconds time_until(double amount,
                                          double rate) const noexcept
    {
        if (rate <= 0)
        {
            return max_retry_after;
        }
        const auto wait = milliseconds{static_cast<milliseconds::rep>(
            std::ceil((amount - level_) / rate * 1'000))};
        return std::clamp(wait, milliseconds{1}, max_retry_after);
    }

private:
    double level_ = 0;
};

/// Exponentially decaying rate per second.
class rate_meter
{
public:
    void add(monotonic_time now, double amount) noexcept
    {
        decay(now);
        sum_ += amount;
    }

    [[nodiscard]] double per_second(monotonic_time now) noexcept
    {
        decay(now);
        const double half_life =
            std::chrono::duration<double>(demand_half_life).count();
        return sum_ * std::log(2.0) / half_life;
    }

private:
    void decay(monotonic_time now) noexcept
    {
        const double half_lives =
            std::chrono::duration<double>(now - at_).count() /
            std::chrono::duration<double>(demand_half_life).count();
        sum_ *= std::exp2(-std::max(half_lives, 0.0));
        at_ = now;
    }

    monotonic_time at_{};
    double sum_ = 0;
};

struct organisation_limits
{
    protocol::organisation_contract contract;
    allotment floor;
    allotment grant;
    monotonic_time granted_until{};
    token_bucket requests;
    token_bucket tokens;
    monotonic_time updated_at{};
    std::uint32_t streams = 0;
    std::uint32_t refused_streams = 0;
    rate_meter request_demand;
    rate_meter token_demand;

    [[nodiscard]] allotment allowed(monotonic_time now) const noexcept
    {
        return now < granted_until ? sum(floor, grant) : floor;
    }

    void refill_buckets(monotonic_time from, monotonic_time to,
                        const allotment& amounts) noexcept
    {
        requests.refill(from, to, amounts.requests_per_second,
                        amounts.request_burst);
        tokens.refill(from, to, amounts.tokens_per_second, amounts.token_burst);
    }

    /// Refills the buckets up to now. A grant that expired in between counts
    /// only until its expiry.
    void update(monotonic_time now) noexcept
    {
        if (updated_at < granted_until && granted_until <= now)
        {
            refill_buckets(updated_at, granted_until, sum(floor, grant));
            updated_at = granted_until;
            grant = {};
        }
        refill_buckets(updated_at, now, allowed(now));
        updated_at = now;
    }
};

limit_refusal refuse(std::string message, milliseconds retry_after)
{
    return {{transport::verdict::not_run, reason::limit_reached,
             std::move(message)},
            retry_after};
}

} // namespace

allotment
contract_limits(const protocol::organisation_contract& contract) noexcept
{
    return {contract.requests_per_second, contract.request_burst,
            contract.tokens_per_second, contract.token_burst,
            static_cast<double>(contract.concurrent_streams)};
}

allotment scaled(const allotment& amounts, double factor) noexcept
{
    return combine(amounts, amounts,
                   [factor](double amount, double) { return amount * factor; });
}

allotment sum(const allotment& left, const allotment& right) noexcept
{
    return combine(left, right, [](double a, double b) { return a + b; });
}

allotment elementwise_max(const allotment& left,
                          const allotment& right) noexcept
{
    return combine(left, right,
                   [](double a, double b) { return std::max(a, b); });
}

allotment elementwise_min(const allotment& left,
                          const allotment& right) noexcept
{
    return combine(left, right,
                   [](double a, double b) { return std::min(a, b); });
}

allotment saturating_difference(const allotment& left,
                                const allotment& right) noexcept
{
    return combine(left, right,
                   [](double a, double b) { return std::max(a - b, 0.0); });
}

allotment floor_of(const protocol::organisation_contract& contract,
                   const floor_settings& settings) noexcept
{
    const double nodes = std::max(settings.nodes, 1U);
    auto floor =
        scaled(contract_limits(contract), settings.floor_share / nodes);
    floor.concurrent_streams = std::floor(floor.concurrent_streams);
    return floor;
}

struct limiter::impl
{
    floor_settings floors;
    std::vector<organisation_limits> organisations;

    organisation_limits* find(std::string_view name)
    {
        const auto found =
            std::find_if(organisations.begin(), organisations.end(),
                         [name](const auto& known) {
                             return known.contract.organisation == name;
                         });
        return found != organisations.end() ? &*found : nullptr;
    }

    void add(monotonic_time now,
             const protocol::organisation_contract& contract,
             bucket_start start)
    {
        organisation_limits added;
        added.contract = contract;
        added.floor = floor_of(contract, floors);
        added.updated_at = now;
        if (start == bucket_start::full)
        {
            added.requests.set_level(added.floor.request_burst);
            added.tokens.set_level(added.floor.token_burst);
        }
        organisations.push_back(std::move(added));
    }
};

limiter::limiter(floor_settings floors)
    : impl_(std::make_unique<impl>(impl{floors, {}}))
{}

limiter::limiter(limiter&&) noexcept = default;
limiter& limiter::operator=(limiter&&) noexcept = default;
limiter::~limiter() = default;

void limiter::set_contracts(
    monotonic_time now,
    const std::vector<protocol::organisation_contract>& contracts,
    bucket_start start)
{
    auto& known = impl_->organisations;
    known.erase(std::remove_if(known.begin(), known.end(),
                               [&](const auto& old) {
                                   return std::none_of(
                                       contracts.begin(), contracts.end(),
                                       [&](const auto& contract) {
                                           return contract.organisation ==
                                                  old.contract.organisation;
                                       });
                               }),
                known.end());
    for (const auto& contract : contracts)
    {
        auto* found = impl_->find(contract.organisation);
        if (found == nullptr)
        {
            impl_->add(now, contract, start);
            continue;
        }
        found->update(now);
        found->contract = contract;
        found->floor = floor_of(contract, impl_->floors);
        // A grant issued under the previous contract may exceed the new limits.
        found->grant = elementwise_min(
            found->grant,
            scaled(contract_limits(contract), 1 - impl_->floors.floor_share));
        found->update(now);
    }
}

void limiter::set_grant(monotonic_time now, std::string_view organisation,
                        const allotment& amounts, monotonic_time expires_at)
{
    auto* found = impl_->find(organisation);
    if (found == nullptr)
    {
        return;
    }
    found->update(now);
    found->grant = amounts;
    found->granted_until = expires_at;
    found->update(now);
}

tl::expected<permit, limit_refusal>
limiter::admit(monotonic_time now, std::string_view organisation,
               const limit_request& request)
{
    auto* found = impl_->find(organisation);
    if (found == nullptr)
    {
        return tl::unexpected{
            refuse("No contract of this organisation is in force.",
                   stream_retry_after)};
    }
    found->update(now);
    found->request_demand.add(now, 1);
    found->token_demand.add(now, request.tokens);
    const auto allowed = found->allowed(now);
    if (request.streams > 0 &&
        found->streams + request.streams > allowed.concurrent_streams)
    {
        ++found->refused_streams;
        return tl::unexpected{
            refuse("Too many streams are open.", stream_retry_after)};
    }
    if (!found->requests.holds(1))
    {
        return tl::unexpected{
            refuse("The rate of requests is used up.",
                   found->requests.time_until(1, allowed.requests_per_second))};
    }
    if (!found->tokens.holds(request.tokens))
    {
        return tl::unexpected{
            refuse("The rate of tokens is used up.",
                   found->tokens.time_until(request.tokens,
                                            allowed.tokens_per_second))};
    }
    found->requests.take(1);
    found->tokens.take(request.tokens);
    found->streams += request.streams;
    return permit{std::string{organisation}, request.tokens, request.streams,
                  std::max(request.priority, found->contract.priority_ceiling)};
}

permit limiter::adopt_stream(std::string_view organisation,
                             protocol::priority_class priority)
{
    auto* found = impl_->find(organisation);
    if (found != nullptr)
    {
        ++found->streams;
    }
    return {std::string{organisation}, 0, 1, priority};
}

void limiter::settle(monotonic_time now, const permit& admitted,
                     double used_tokens)
{
    auto* found = impl_->find(admitted.organisation);
    if (found == nullptr)
    {
        return;
    }
    found->update(now);
    const double unused = admitted.reserved_tokens - used_tokens;
    if (unused >= 0)
    {
        found->tokens.refund(unused, found->allowed(now).token_burst);
    }
    else
    {
        found->tokens.take(-unused);
    }
    found->streams -= std::min(found->streams, admitted.streams);
}

std::vector<limit_demand> limiter::take_demand(monotonic_time now)
{
    std::vector<limit_demand> demands;
    demands.reserve(impl_->organisations.size());
    for (auto& known : impl_->organisations)
    {
        demands.push_back({known.contract.organisation,
                           known.request_demand.per_second(now),
                           known.token_demand.per_second(now), known.streams,
                           known.refused_streams});
        known.refused_streams = 0;
    }
    return demands;
}

allotment limiter::allowed(monotonic_time now,
                           std::string_view organisation) const
{
    const auto* found = impl_->find(organisation);
    return found != nullptr ? found->allowed(now) : allotment{};
}

std::uint32_t limiter::open_streams(std::string_view organisation) const
{
    const auto* found = impl_->find(organisation);
    return found != nullptr ? found->streams : 0;
}

} // namespace hyssopdeal::coordination
