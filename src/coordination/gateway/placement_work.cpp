/// @file
/// Prediction from the work left at servers, and what is learned for it.

#include <hyssopdeal/coordination/gateway/placement.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::monotonic_time;

namespace
{

using milliseconds_f = std::chrono::duration<double, std::milli>;

std::uint64_t prefix_of(const prompt_size& prompt)
{
    const auto parts = prompt.parts.size();
    return parts < 2 ? 0 : prompt.parts[parts - 2].id;
}

protocol::sent_load own_load_of(const known_server& server)
{
    return {server.running, server.waiting_tokens,
            static_cast<std::uint64_t>(std::max(0.0, server.writing))};
}

} // namespace

// [prediction] ---------------------------------------------------------------

/// @return Time on a server of mean speed until the request begins to run.
double placement::wait_ms(monotonic_time now, const known_server& server,
                          const prompt_size& prompt,
                          const work_left& work) const
{
    const double slots = std::max(1U, server.listed.slots);
    const double queued = std::max(0.0, work.requests + 1 - slots);
    if (prompt.prompt_tokens == 0)
    {
        return queued / slots * costs_.mean_plain_ms(server.listed.service);
    }
    const double running = std::max(1.0, std::min(work.requests, slots));
    const double event_ms = speeds_.event_ms(now, server.listed, running);
    const auto hold = slot_hold_ms_.find(server.listed.service);
    const double measured_hold = hold == slot_hold_ms_.end()
                                     ? settings_.initial_slot_hold_ms
                                     : hold->second;
    const double left_ms =
        event_ms > 0 && work.requests > 0 && work.events > work.requests
            ? work.events / work.requests * event_ms
            : measured_hold;
    return work.prompt_tokens / prefill_speed_of(server) +
           queued * left_ms / slots;
}

/// The cost of the gaps of all streams on the server with one more, minus that
/// without it.
double placement::gap_cost_ms(monotonic_time now, const known_server& server,
                              const prompt_size& prompt,
                              double concurrent) const
{
    const auto target = static_cast<double>(prompt.kind.target_gap.count());
    if (target <= 0)
    {
        return 0;
    }
    const double slots = std::max(1U, server.listed.slots);
    const double running = std::min(concurrent, slots);
    const auto cost = [&](double streams) {
        const double share =
            speeds_.largest_gap_ms(now, server.listed, streams) / target;
        // A gap beyond the target is late, whatever its length.
        return streams * std::min(share * share, 1.0);
    };
    return settings_.gap_penalty_ms * (cost(running + 1) - cost(running));
}

std::optional<work_prediction>
placement::predict_by_work(monotonic_time now, const known_server& server,
                           const prompt_size& prompt, std::uint64_t uncached,
                           bool heed_statements) const
{
    const auto& listed = server.listed;
    if (!stating_services_.contains(listed.service))
    {
        return std::nullopt;
    }
    double own_ms =
        prefill_times_.overhead_ms(listed.service) +
        prefill_times_.prefill_ms(listed.service, static_cast<double>(uncached),
                                  prompt.prompt_tokens);
    if (prompt.prompt_tokens == 0)
    {
        const auto known = costs_.plain_ms(listed.service, prompt.kind);
        if (!known)
        {
            return std::nullopt;
        }
        own_ms = *known;
    }
    const double ratio = speeds_.work_ratio(now, listed);
    const auto own = own_load_of(server);
    const auto reports = server_backlog::reported(own, server.peer_load);
    const auto statement = backlog_.stated(now, listed, own, server.peer_load);
    const auto total_ms = [&](const work_left& work, double speed) {
        // Reports lag, so a less loaded server is probably free sooner.
        const double utilization =
            prompt.prompt_tokens == 0
                ? 0.3 * work.requests / std::max(1U, listed.slots)
                : 0;
        return (wait_ms(now, server, prompt, work) +
                own_ms * (1 + utilization)) *
               speed;
    };
    // Plain requests are shorter than the interval of reports: without a
    // statement, the latest durations tell more of a queue than reports.
    const double ratio_by_reports =
        prompt.prompt_tokens == 0 ? server.latency_ratio : ratio;
    work_prediction result;
    result.unloaded_ms = own_ms * ratio;
    result.by_reports_ms = total_ms(reports, ratio_by_reports);
    result.by_statement_ms = statement ? total_ms(*statement, ratio) : 0;
    const bool use_statement =
        heed_statements && statement && backlog_.trusted(listed);
    const auto& work = use_statement ? *statement : reports;
    result.first_event_ms =
        use_statement ? result.by_statement_ms : result.by_reports_ms;
    result.gap_cost_ms = gap_cost_ms(now, server, prompt, work.requests);
    // A slow server reads longer and has less time left between two events.
    result.interference = ratio * ratio;
    result.noise_ms = settings_.shared_figures_noise * result.first_event_ms;
    // What is learned must not depend on statements, which may be false.
    const double usual_wait_ms = wait_ms(now, server, prompt, reports);
    result.wait_ms = usual_wait_ms * ratio;
    result.usual_ms = usual_wait_ms > 0.1 * own_ms ? 0 : own_ms;
    return result;
}

// [feedback] -----------------------------------------------------------------

void placement::on_load(monotonic_time now, const known_server& server,
                        std::string_view text)
{
    if (text.empty())
    {
        return;
    }
    const auto load = parse_stated_load(text);
    if (!load)
    {
        return unreadable_loads_.add(now, server.listed.id, text);
    }
    // Servers that state how long work takes are uneven; the others are served
    // as well by the former prediction.
    if (!load->slowdown_percent && !settings_.predict_by_work)
    {
        return;
    }
    stating_services_.insert(server.listed.service);
    backlog_.on_stated(now, server.listed, *load);
    if (load->slowdown_percent)
    {
        speeds_.on_slowdown(now, server.listed, *load->slowdown_percent);
    }
}

void placement::learn_first_event(monotonic_time now,
                                  const placement_choice& choice,
                                  double latency_ms)
{
    const auto& work = *choice.work;
    const auto& listed = choice.server->listed;
    if (work.by_statement_ms > 0)
    {
        backlog_.on_outcome(listed, latency_ms, work.by_statement_ms,
                            work.by_reports_ms);
    }
    speeds_.on_work(now, listed, latency_ms, work.usual_ms);
}

void placement::on_event(monotonic_time now, placement_choice& choice)
{
    if (!choice.work)
    {
        return;
    }
    // A stream beyond its expected length is likely to be a long one.
    constexpr double overrun = 0.25;
    auto& server = *choice.server;
    auto& run = choice.progress;
    if (run.events > 0)
    {
        speeds_.on_gap(now, server.listed,
                       static_cast<double>(server.running) +
                           server.peer_load.running,
                       milliseconds_f{now - run.last_event}.count());
    }
    ++run.events;
    run.last_event = now;
    const double left =
        std::max(run.events_expected - run.events, overrun * run.events);
    server.writing += left - run.events_left;
    run.events_left = left;
}

void placement::on_served(const placement_choice& choice,
                          const prompt_size& prompt,
                          const answer_timing& timing, bool one_attempt)
{
    timings_.add(prompt.kind.route, choice.predicted, timing);
    const auto& service = choice.server->listed.service;
    if (!one_attempt || !stating_services_.contains(service))
    {
        return;
    }
    if (choice.prompt_tokens > 0)
    {
        // Events are counted only for requests that were placed by work.
        if (!choice.work || choice.progress.events == 0)
        {
            return;
        }
        costs_.on_stream(prompt.kind, prefix_of(prompt),
                         choice.progress.events);
        speeds_.on_largest_gap(choice.progress.last_event,
                               choice.server->listed,
                               static_cast<double>(choice.server->running) +
                                   choice.server->peer_load.running + 1,
                               static_cast<double>(timing.largest_gap.count()));
    }
    else if (timing.first_event.count() >= 0)
    {
        // Of a response that waited at least this part is its own.
        constexpr double min_share = 0.2;
        const auto now = choice.progress.last_event + timing.first_event;
        const auto took = static_cast<double>(timing.first_event.count());
        const double wait = choice.work ? choice.work->wait_ms : 0;
        costs_.on_plain(service, prompt.kind,
                        std::max(min_share * took, took - wait) /
                            speeds_.work_ratio(now, choice.server->listed));
    }
}

output_estimate placement::expected_output(const prompt_size& prompt) const
{
    return costs_.output(prompt.kind, prefix_of(prompt),
                         prompt.max_output_tokens);
}

} // namespace hyssopdeal::coordination
