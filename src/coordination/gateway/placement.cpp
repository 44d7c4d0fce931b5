/// @file
/// Server selection by predicted cost.

#include <hyssopdeal/coordination/gateway/placement.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

#include <fmt/format.h>
#include <xxhash.h>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::monotonic_time;

namespace
{

constexpr double service_ewma_weight = 0.05;
constexpr double latency_ewma_weight = 0.15;
constexpr double failure_ewma_weight = 0.1;
constexpr std::uint32_t failures_before_backoff = 3;
constexpr std::size_t max_cache_entries = 20'000;

std::uint64_t keyed_hash(const std::string& server, std::uint64_t key)
{
    return XXH3_64bits_withSeed(server.data(), server.size(), key);
}

/// @return Id of the last segment that other requests may share, by which
///     requests with a common prefix are sent to the same server. 0: none.
std::uint64_t shared_prefix_id(const prompt_size& prompt)
{
    const auto parts = prompt.parts.size();
    return parts < 2 ? 0 : prompt.parts[parts - 2].id;
}

} // namespace

std::vector<prompt_part> parse_parts(std::string_view text)
{
    constexpr int hexadecimal = 16;
    constexpr int decimal = 10;
    const auto parse = [](std::string_view number, auto& result, int base) {
        const auto* const end = number.data() + number.size();
        const auto parsed = std::from_chars(number.data(), end, result, base);
        return !number.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
    };
    std::vector<prompt_part> parts;
    while (!text.empty())
    {
        const auto end = std::min(text.find(','), text.size());
        const auto item = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto colon = item.find(':');
        prompt_part part;
        if (colon == std::string_view::npos ||
            !parse(item.substr(0, colon), part.id, hexadecimal) ||
            !parse(item.substr(colon + 1), part.tokens, decimal))
        {
            return parts;
        }
        parts.push_back(part);
    }
    return parts;
}

std::string format_parts(const prompt_size& prompt)
{
    constexpr std::size_t max_parts = 8; // Bounds the length of a log line.
    std::string text;
    for (std::size_t index = 0;
         index < std::min(max_parts, prompt.parts.size()); ++index)
    {
        text += fmt::format("{}{:x}", index == 0 ? "" : ",",
                            prompt.parts[index].id);
    }
    return text;
}

placement::placement(placement_settings settings, std::string failure_domain,
                     std::uint64_t seed)
    : settings_(settings),
      failure_domain_(std::move(failure_domain)),
      random_(seed),
      subset_seed_(random_()),
      permits_(random_()),
      cold_(subset_seed_),
      brittle_(random_())
{}

// [servers] ------------------------------------------------------------------

std::vector<std::shared_ptr<known_server>>
placement::set_servers(const std::vector<protocol::listed_server>& servers,
                       monotonic_time read_at)
{
    permits_.set_servers(servers);
    brittle_.set_servers(servers);
    std::map<std::string, std::shared_ptr<known_server>> next;
    for (const auto& listed : servers)
    {
        const auto known = servers_.find(listed.id);
        const bool same = known != servers_.end() &&
                          known->second->listed.born == listed.born &&
                          known->second->listed.address == listed.address;
        auto item = same ? known->second : std::make_shared<known_server>();
        item->listed = listed;
        // Draining is final for an incarnation of a server.
        const bool was_usable = !same || item->usable;
        item->usable =
            was_usable && listed.state == protocol::server_state::ready;
        if (listed.leaves_ms >= 0)
        {
            item->ends_at = read_at + milliseconds{listed.leaves_ms};
        }
        next[listed.id] = std::move(item);
    }
    std::vector<std::shared_ptr<known_server>> removed;
    for (const auto& [id, item] : servers_)
    {
        const auto kept = next.find(id);
        const bool same = kept != next.end() && kept->second == item;
        if (!same)
        {
            item->usable = false;
            removed.push_back(item);
        }
    }
    servers_ = std::move(next);
    unreadable_loads_.keep(servers_);
    return removed;
}

void placement::set_peer_loads(
    const std::map<std::string, protocol::sent_load>& load)
{
    for (const auto& [id, item] : servers_)
    {
        const auto found = load.find(id);
        item->peer_load =
            found == load.end() ? protocol::sent_load{} : found->second;
    }
}

bool placement::has_untried(const std::string& service,
                            const std::set<std::string>& tried) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& item) {
        return is_usable(*item.second, service) && !tried.contains(item.first);
    });
}

bool placement::all_evacuated(const std::string& service) const
{
    bool any_usable = false;
    for (const auto& [id, item] : servers_)
    {
        if (is_usable(*item, service))
        {
            return false;
        }
        any_usable =
            any_usable || (item->usable && item->listed.service == service);
    }
    return any_usable;
}

// [prediction] ---------------------------------------------------------------

std::uint64_t placement::cached_tokens(monotonic_time now,
                                       const known_server& server,
                                       const prompt_size& prompt) const
{
    std::uint64_t tokens = 0;
    for (const auto& part : prompt.parts)
    {
        const auto found = cache_.find(keyed_hash(server.listed.id, part.id));
        if (found == cache_.end() ||
            now - found->second > settings_.cache_entry_ttl)
        {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

double placement::predict_first_event_ms(const known_server& server,
                                         const prompt_size& prompt,
                                         std::uint64_t uncached) const
{
    const double running = server.running + server.peer_load.running;
    const double slots = std::max(1U, server.listed.slots);
    if (prompt.prompt_tokens == 0)
    {
        const double queued = std::max(0.0, running + 1 - slots);
        const double utilization = running / slots;
        return settings_.base_request_ms * server.latency_ratio *
               (1 + 0.3 * utilization + queued / slots);
    }
    const double waiting = static_cast<double>(server.waiting_tokens +
                                               server.peer_load.waiting_tokens);
    const double queued = std::max(0.0, running + 1 - slots);
    const auto hold = slot_hold_ms_.find(server.listed.service);
    const double hold_ms = hold == slot_hold_ms_.end()
                               ? settings_.initial_slot_hold_ms
                               : hold->second;
    return unloaded_first_event_ms(server, prompt, uncached) +
           waiting / prefill_speed_of(server) * server.latency_ratio +
           queued * hold_ms / slots;
}

double placement::unloaded_first_event_ms(const known_server& server,
                                          const prompt_size& prompt,
                                          std::uint64_t uncached) const
{
    if (prompt.prompt_tokens == 0)
    {
        return settings_.base_request_ms * server.latency_ratio;
    }
    const auto& service = server.listed.service;
    return (prefill_times_.overhead_ms(service) +
            prefill_times_.prefill_ms(service, static_cast<double>(uncached),
                                      prompt.prompt_tokens)) *
           server.latency_ratio;
}

/// If many gateways with the same load reports considered all servers, they
/// would all choose the same server until the next report. Random servers let a
/// gateway find free slots when the servers of its subset are full.
void placement::sample_candidates(
    monotonic_time now, std::vector<std::shared_ptr<known_server>>& candidates,
    const std::shared_ptr<known_server>& affinity_server)
{
    // Each server is in the subsets of about this many gateways.
    constexpr std::size_t gateways_per_server = 6;
    constexpr std::size_t min_subset_size = 3;
    constexpr std::size_t random_count = 2;
    const auto count = candidates.size();
    const auto subset_size = std::max(
        min_subset_size, gateway_count_ == 0
                             ? count
                             : count * gateways_per_server / gateway_count_);
    if (subset_size + random_count >= count)
    {
        return;
    }
    const auto rank = [&](const auto& item) {
        return item == affinity_server || cold_.is_cold(now, item->listed)
                   ? std::numeric_limits<std::uint64_t>::max()
                   : keyed_hash(item->listed.id, subset_seed_);
    };
    const auto at = [&](std::size_t position) {
        return candidates.begin() + static_cast<std::ptrdiff_t>(position);
    };
    std::nth_element(candidates.begin(), at(subset_size), candidates.end(),
                     [&](const auto& left, const auto& right) {
                         return rank(left) > rank(right);
                     });
    for (std::size_t position = subset_size;
         position < subset_size + random_count; ++position)
    {
        std::uniform_int_distribution<std::size_t> draw{position, count - 1};
        std::swap(*at(position), *at(draw(random_)));
    }
    candidates.resize(subset_size + random_count);
}

std::optional<placement_choice>
placement::choose(monotonic_time now, const std::string& service,
                  const prompt_size& prompt, const std::set<std::string>& tried,
                  const connection_probe& connected,
                  const version_choice& versions)
{
    const auto eligible = [&](const known_server& server) {
        return is_candidate(now, server, service) &&
               versions.admits(server.listed.version) &&
               permits_.may_send(now, server.listed) &&
               cold_.may_send(now, server.listed) && has_brittle_slot(server);
    };
    const auto prefix_id = shared_prefix_id(prompt);
    std::shared_ptr<known_server> affinity_server;
    std::uint64_t highest_rank = 0;
    bool any_available = false;
    for (const auto& [id, item] : servers_)
    {
        if (!eligible(*item))
        {
            continue;
        }
        any_available = any_available ||
                        (item->backoff_until <= now && !tried.contains(id));
        const auto rank = keyed_hash(id, prefix_id);
        if (prefix_id != 0 && rank >= highest_rank)
        {
            highest_rank = rank;
            affinity_server = item;
        }
    }
    std::vector<std::shared_ptr<known_server>> candidates;
    for (const auto& [id, item] : servers_)
    {
        const bool eligible_now =
            eligible(*item) && !tried.contains(id) &&
            (item->backoff_until <= now || !any_available);
        if (eligible_now)
        {
            candidates.push_back(item);
        }
    }
    sample_candidates(now, candidates, affinity_server);
    placement_choice best;
    double lowest_cost = std::numeric_limits<double>::infinity();
    std::uniform_real_distribution<double> noise{0, 1};
    const bool heed = stating_services_.contains(service) &&
                      noise(random_) >= settings_.unheeded_statements;
    for (const auto& item : candidates)
    {
        const auto cached = cached_tokens(now, *item, prompt);
        double uncached = static_cast<double>(
            prompt.prompt_tokens -
            std::min<std::uint64_t>(prompt.prompt_tokens, cached));
        const double own_tokens =
            prompt.parts.empty() ? uncached : prompt.parts.back().tokens;
        double shared_uncached = std::max(0.0, uncached - own_tokens);
        if (item == affinity_server && !prompt.parts.empty())
        {
            uncached -= settings_.affinity_cache_probability * shared_uncached;
            shared_uncached *= 1 - settings_.affinity_cache_probability;
        }
        const auto uncached_tokens = static_cast<std::uint64_t>(uncached);
        const auto work =
            predict_by_work(now, *item, prompt, uncached_tokens, heed);
        const double predicted =
            work ? work->first_event_ms
                 : predict_first_event_ms(*item, prompt, uncached_tokens);
        const double concurrent = item->running + item->peer_load.running;
        const double prefill_ms =
            prefill_times_.prefill_ms(service, uncached, prompt.prompt_tokens);
        const double cost =
            predicted +
            settings_.interference_factor * concurrent * prefill_ms *
                (work ? work->interference : 1) +
            settings_.cache_miss_ms_per_token * shared_uncached +
            (item->listed.failure_domain == failure_domain_
                 ? 0
                 : settings_.cross_domain_penalty_ms) +
            (connected && !connected(item->listed.address)
                 ? settings_.connection_setup_penalty_ms
                 : 0) +
            item->failure_rate * settings_.failure_penalty_ms + noise(random_) +
            (work ? work->gap_cost_ms + work->noise_ms * noise(random_) : 0);
        if (cost < lowest_cost)
        {
            lowest_cost = cost;
            best = {item,
                    milliseconds{static_cast<std::int64_t>(predicted)},
                    milliseconds{static_cast<std::int64_t>(
                        work ? work->unloaded_ms
                             : unloaded_first_event_ms(*item, prompt,
                                                       uncached_tokens))},
                    std::chrono::duration<double, std::milli>{prefill_ms},
                    uncached_tokens,
                    item->waiting_tokens + item->peer_load.waiting_tokens,
                    prompt.prompt_tokens,
                    work,
                    {0, 0, 0, now}};
        }
    }
    if (best.work && prompt.prompt_tokens > 0)
    {
        auto& run = best.progress;
        run.events_expected = run.events_left = expected_output(prompt).mean;
    }
    return best.server ? std::optional{best} : std::nullopt;
}

// [feedback] -----------------------------------------------------------------

void placement::on_sent(monotonic_time now, const placement_choice& choice,
                        const prompt_size& prompt)
{
    auto& server = *choice.server;
    ++server.running;
    server.waiting_tokens += choice.uncached_tokens;
    server.writing += choice.progress.events_left;
    if (choice.work)
    {
        backlog_.on_sent(server.listed);
    }
    if (cache_.size() > max_cache_entries)
    {
        std::erase_if(cache_, [&](const auto& item) {
            return now - item.second > settings_.cache_entry_ttl / 4;
        });
    }
    for (const auto& part : prompt.parts)
    {
        cache_[keyed_hash(server.listed.id, part.id)] = now;
    }
}

void placement::on_first_event(const placement_choice& choice,
                               milliseconds latency)
{
    auto& server = *choice.server;
    server.waiting_tokens -=
        std::min(server.waiting_tokens, choice.uncached_tokens);
    if (choice.work)
    {
        learn_first_event(choice.progress.last_event + latency, choice,
                          static_cast<double>(latency.count()));
    }
    const double expected = std::max<double>(
        1, choice.work ? choice.work->by_reports_ms
                       : static_cast<double>(choice.predicted.count()));
    // Predictions by work for prompts do not contain this ratio.
    if (!choice.work || choice.prompt_tokens == 0)
    {
        const double ratio =
            std::clamp(server.latency_ratio *
                           static_cast<double>(latency.count()) / expected,
                       0.3, 20.0);
        server.latency_ratio +=
            latency_ewma_weight * (ratio - server.latency_ratio);
    }
    learn_prefill(choice, static_cast<double>(latency.count()));
}

/// Ignores prompts that had others queued ahead, as their latency includes the
/// time in the queue.
void placement::learn_prefill(const placement_choice& choice, double latency_ms)
{
    if (choice.prompt_tokens > 0 && choice.waiting_tokens == 0)
    {
        prefill_times_.learn(choice.server->listed.service,
                             static_cast<double>(choice.uncached_tokens),
                             choice.prompt_tokens, latency_ms);
    }
}

double placement::prefill_speed_of(const known_server& server) const
{
    return prefill_times_.mean_speed(server.listed.service);
}

void placement::on_ended(const placement_choice& choice, bool first_event_seen,
                         milliseconds slot_hold)
{
    auto& server = *choice.server;
    if (first_event_seen && choice.prompt_tokens > 0)
    {
        auto& known = slot_hold_ms_
                          .try_emplace(server.listed.service,
                                       settings_.initial_slot_hold_ms)
                          .first->second;
        known += service_ewma_weight *
                 (static_cast<double>(slot_hold.count()) - known);
    }
    server.running -= server.running > 0 ? 1 : 0;
    server.writing =
        std::max(0.0, server.writing - choice.progress.events_left);
    if (!first_event_seen)
    {
        server.waiting_tokens -=
            std::min(server.waiting_tokens, choice.uncached_tokens);
    }
}

void placement::on_failure(monotonic_time now, known_server& server)
{
    server.failure_rate += failure_ewma_weight * (1 - server.failure_rate);
    ++server.consecutive_failures;
    if (server.consecutive_failures >= failures_before_backoff)
    {
        const auto doublings =
            std::min(server.consecutive_failures - failures_before_backoff, 5U);
        const auto backoff = std::min<milliseconds>(
            settings_.max_backoff,
            settings_.initial_backoff * (std::int64_t{1} << doublings));
        server.backoff_until = now + backoff;
    }
}

void placement::on_unreachable(monotonic_time now, known_server& server)
{
    server.consecutive_failures =
        std::max(server.consecutive_failures, failures_before_backoff - 1);
    on_failure(now, server);
}

void placement::on_success(known_server& server)
{
    server.failure_rate -= failure_ewma_weight * server.failure_rate;
    server.consecutive_failures = 0;
    server.backoff_until = {};
}

void placement::on_full(monotonic_time now, known_server& server)
{
    on_pause(now, server,
             std::max(settings_.full_server_pause,
                      brittle_.rejection_pause(server.listed)));
}

void placement::on_leaving(known_server& server)
{
    server.said_leaving = true;
    server.usable = false;
}

void placement::on_pause(monotonic_time now, known_server& server,
                         milliseconds pause)
{
    server.paused_until = std::max(server.paused_until, now + pause);
}

void placement::set_leaving(const protocol::leaving_servers& leaving)
{
    for (const auto& [id, born] : leaving)
    {
        const auto found = servers_.find(id);
        if (found != servers_.end() && found->second->listed.born == born)
        {
            found->second->usable = false;
        }
    }
}

protocol::leaving_servers placement::seen_leaving() const
{
    protocol::leaving_servers ids;
    for (const auto& [id, item] : servers_)
    {
        if (item->said_leaving &&
            item->listed.state == protocol::server_state::ready)
        {
            ids.emplace(id, item->listed.born);
        }
    }
    return ids;
}

std::optional<milliseconds>
placement::remaining_pause(monotonic_time now, const std::string& service) const
{
    std::optional<milliseconds> least;
    for (const auto& [id, item] : servers_)
    {
        const auto until = item->paused_until;
        if (is_usable(*item, service) && until > now)
        {
            const auto left = std::chrono::ceil<milliseconds>(until - now);
            least = std::min(least.value_or(left), left);
        }
    }
    return least;
}

bool placement::any_untried_candidate(
    monotonic_time now, const std::string& service,
    const std::set<std::string>& tried,
    const std::function<bool(const known_server&)>& condition) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& item) {
        const auto& server = *item.second;
        return is_candidate(now, server, service) &&
               !tried.contains(item.first) && condition(server);
    });
}

bool placement::lacks_permit(monotonic_time now, const std::string& service,
                             const std::set<std::string>& tried)
{
    return any_untried_candidate(
        now, service, tried, [&](const known_server& server) {
            return !permits_.may_send(now, server.listed);
        });
}

bool placement::lacks_cold_permit(monotonic_time now,
                                  const std::string& service,
                                  const std::set<std::string>& tried)
{
    return any_untried_candidate(now, service, tried,
                                 [&](const known_server& server) {
                                     return !cold_.may_send(now, server.listed);
                                 });
}

bool placement::lacks_brittle_slot(monotonic_time now,
                                   const std::string& service,
                                   const std::set<std::string>& tried)
{
    return any_untried_candidate(
        now, service, tried, [&](const known_server& server) {
            return permits_.may_send(now, server.listed) &&
                   !has_brittle_slot(server);
        });
}

bool placement::has_brittle_slot(const known_server& server) const
{
    return brittle_.may_send(server.listed, server.running,
                             server.peer_load.running);
}

std::map<std::string, protocol::sent_load> placement::own_load() const
{
    std::map<std::string, protocol::sent_load> load;
    for (const auto& [id, item] : servers_)
    {
        if (item->running > 0)
        {
            load[id] = {item->running, item->waiting_tokens,
                        static_cast<std::uint64_t>(item->writing)};
        }
    }
    return load;
}

} // namespace hyssopdeal::coordination
