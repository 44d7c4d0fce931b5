#include <hyssopdeal/coordination/load_estimate.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace hyssopdeal::coordination
{

namespace
{

constexpr std::size_t remembered_steps = 512;
constexpr double output_smoothing = 0.05;
constexpr double slowdown_smoothing = 0.2;
constexpr double slowdown_decay = 0.95; // with each report
// A report tells whole milliseconds of the server's clock, which are turned
// into this one's: two that were taken in turn may seem to be the wrong way
// round by one unit of each clock.
constexpr std::chrono::milliseconds report_resolution{2};

/// A request that was sent (+1) or ended (-1).
struct load_step
{
    transport::monotonic_time at{};
    int change = 0;
};

/// The last steps of one server.
struct server_steps
{
    std::array<load_step, remembered_steps> ring{};
    std::size_t next = 0;
    transport::monotonic_time taken_at{};

    void add(transport::monotonic_time now, int change) noexcept
    {
        ring.at(next) = {now, change};
        next = (next + 1) % remembered_steps;
    }

    [[nodiscard]] int since(transport::monotonic_time time) const noexcept
    {
        int total = 0;
        for (const auto& step : ring)
        {
            total += step.at > time ? step.change : 0;
        }
        return total;
    }
};

} // namespace

struct load_estimate::impl
{
    std::vector<routing_candidate> table;
    std::vector<server_steps> steps;
    double weight = 1; ///< Of an own step, see set_peers().

    void count(transport::monotonic_time now, server_index server, int change)
    {
        auto& row = table.at(server);
        steps.at(server).add(now, change);
        row.in_flight = std::max(row.in_flight + weight * change,
                                 static_cast<double>(row.own_in_flight));
    }

    void finish_prefill(const sent_request& request)
    {
        auto& row = table.at(request.server);
        row.queued_prompt_tokens =
            std::max(row.queued_prompt_tokens - request.uncached_tokens, 0.0);
    }
};

load_estimate::load_estimate()
    : impl_(std::make_unique<impl>())
{}

load_estimate::load_estimate(load_estimate&&) noexcept = default;
load_estimate& load_estimate::operator=(load_estimate&&) noexcept = default;
load_estimate::~load_estimate() = default;

void load_estimate::resize(std::uint32_t servers)
{
    impl_->table.resize(servers);
    impl_->steps.resize(servers);
}

void load_estimate::set_peers(std::uint32_t peers)
{
    impl_->weight = std::sqrt(std::max(peers, 1U));
}

std::span<routing_candidate> load_estimate::table() noexcept
{
    return impl_->table;
}

std::span<const routing_candidate> load_estimate::table() const noexcept
{
    return impl_->table;
}

void load_estimate::on_report(transport::monotonic_time, server_index server,
                              const load_report& report)
{
    auto& steps = impl_->steps.at(server);
    if (report.taken_at + report_resolution < steps.taken_at)
    {
        return;
    }
    steps.taken_at = std::max(steps.taken_at, report.taken_at);
    auto& row = impl_->table.at(server);
    row.reported_in_flight = static_cast<double>(report.running) +
                             static_cast<double>(report.queued);
    row.in_flight = std::max(row.reported_in_flight +
                                 impl_->weight * steps.since(report.taken_at),
                             static_cast<double>(row.own_in_flight));
    row.slots = report.slots != 0 ? report.slots : row.slots;
    row.slowdown = std::chrono::duration_cast<std::chrono::microseconds>(
        row.slowdown * slowdown_decay);
}

sent_request load_estimate::on_sent(transport::monotonic_time now,
                                    server_index server, double uncached_tokens)
{
    auto& row = impl_->table.at(server);
    ++row.own_in_flight;
    row.queued_prompt_tokens += uncached_tokens;
    impl_->count(now, server, 1);
    return {server, now, uncached_tokens, false};
}

void load_estimate::on_first_token(transport::monotonic_time now,
                                   sent_request& request,
                                   std::chrono::microseconds predicted)
{
    if (request.first_token_seen)
    {
        return;
    }
    request.first_token_seen = true;
    impl_->finish_prefill(request);
    auto& row = impl_->table.at(request.server);
    const auto observed = std::chrono::duration_cast<std::chrono::microseconds>(
        now - request.sent_at);
    const auto beyond = observed - predicted;
    const auto next =
        row.slowdown * (1 - slowdown_smoothing) +
        std::chrono::duration<double, std::micro>(beyond + row.slowdown) *
            slowdown_smoothing;
    row.slowdown =
        std::max(std::chrono::duration_cast<std::chrono::microseconds>(next),
                 std::chrono::microseconds{0});
}

void load_estimate::on_ended(transport::monotonic_time now,
                             const sent_request& request, double output_tokens)
{
    auto& row = impl_->table.at(request.server);
    if (!request.first_token_seen)
    {
        impl_->finish_prefill(request);
    }
    row.own_in_flight -= row.own_in_flight > 0 ? 1 : 0;
    impl_->count(now, request.server, -1);
    if (output_tokens > 0)
    {
        row.mean_output_tokens +=
            output_smoothing * (output_tokens - row.mean_output_tokens);
    }
}

} // namespace hyssopdeal::coordination
