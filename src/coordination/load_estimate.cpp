#include <hyssopdeal/coordination/load_estimate.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace hyssopdeal::coordination
{

namespace
{

constexpr std::size_t load_history_length = 512;
constexpr double output_smoothing = 0.05;
constexpr double slowdown_smoothing = 0.2;
constexpr double slowdown_decay = 0.95; // per report

// Report times are whole milliseconds of the server's clock, converted to this
// node's clock: consecutive reports can appear reordered by one unit of each
// clock.
constexpr std::chrono::milliseconds report_resolution{2};

/// A request that was sent (+1) or that ended (-1).
struct load_change
{
    transport::monotonic_time at{};
    int delta = 0;
};

/// Ring buffer of the latest load changes of one server.
struct load_history
{
    std::array<load_change, load_history_length> ring{};
    std::size_t next = 0;
    transport::monotonic_time last_report_at{};

    void add(transport::monotonic_time now, int delta) noexcept
    {
        ring.at(next) = {now, delta};
        next = (next + 1) % load_history_length;
    }

    [[nodiscard]] int
    net_change_since(transport::monotonic_time time) const noexcept
    {
        int net_change = 0;
        for (const auto& change : ring)
        {
            net_change += change.at > time ? change.delta : 0;
        }
        return net_change;
    }
};

} // namespace

struct load_estimate::impl
{
    std::vector<routing_candidate> table;
    std::vector<load_history> changes;
    double change_weight = 1; ///< See set_peers().

    void apply_change(transport::monotonic_time now, server_index server,
                      int delta)
    {
        auto& row = table.at(server);
        changes.at(server).add(now, delta);
        row.in_flight = std::max(row.in_flight + change_weight * delta,
                                 static_cast<double>(row.own_in_flight));
    }

    void dequeue_prompt(const sent_request& request)
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
    impl_->changes.resize(servers);
}

void load_estimate::set_peers(std::uint32_t senders)
{
    impl_->change_weight = std::sqrt(std::max(senders, 1U));
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
    auto& changes = impl_->changes.at(server);
    if (report.taken_at + report_resolution < changes.last_report_at)
    {
        return;
    }
    changes.last_report_at = std::max(changes.last_report_at, report.taken_at);
    auto& row = impl_->table.at(server);
    row.reported_in_flight = static_cast<double>(report.running) +
                             static_cast<double>(report.queued);
    row.in_flight = std::max(row.reported_in_flight +
                                 impl_->change_weight *
                                     changes.net_change_since(report.taken_at),
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
    impl_->apply_change(now, server, 1);
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
    impl_->dequeue_prompt(request);
    auto& row = impl_->table.at(request.server);
    const auto observed = std::chrono::duration_cast<std::chrono::microseconds>(
        now - request.sent_at);
    const auto excess = observed - predicted;
    const auto next =
        row.slowdown * (1 - slowdown_smoothing) +
        std::chrono::duration<double, std::micro>(excess + row.slowdown) *
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
        impl_->dequeue_prompt(request);
    }
    row.own_in_flight -= row.own_in_flight > 0 ? 1 : 0;
    impl_->apply_change(now, request.server, -1);
    if (output_tokens > 0)
    {
        row.mean_output_tokens +=
            output_smoothing * (output_tokens - row.mean_output_tokens);
    }
}

} // namespace hyssopdeal::coordination
