/// @file
/// Which server a request goes to.

#include <hyssopdeal/coordination/gateway/placement.hpp>

#include <algorithm>
#include <limits>

#include <xxhash.h>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::monotonic_time;

namespace
{

constexpr double rate_smoothing = 0.05;
constexpr double slowness_smoothing = 0.15;
constexpr double failure_smoothing = 0.1;
constexpr std::uint32_t failures_to_avoid = 3;
constexpr std::size_t most_cache_entries = 20'000;
// Fixed cost of a prompt, before its first event, beside its prefill.
constexpr double fixed_first_event_ms = 60;

std::uint64_t place_of(const std::string& server, std::uint64_t part)
{
    return XXH3_64bits_withSeed(server.data(), server.size(), part);
}

/// @return The part by which requests belong together: the last that is not
///     the request's own.
std::uint64_t shared_part(const prompt_size& prompt)
{
    const auto parts = prompt.parts.size();
    return parts < 2 ? 0 : prompt.parts[parts - 2].id;
}

} // namespace

placement::placement(placement_settings settings, std::string failure_domain,
                     std::uint64_t seed)
    : settings_(settings),
      failure_domain_(std::move(failure_domain)),
      random_(seed),
      own_rank_(random_())
{}

// [servers] ------------------------------------------------------------------

std::vector<std::shared_ptr<known_server>>
placement::set_servers(const std::vector<protocol::listed_server>& servers,
                       monotonic_time read)
{
    std::map<std::string, std::shared_ptr<known_server>> next;
    for (const auto& listed : servers)
    {
        const auto known = servers_.find(listed.id);
        const bool same = known != servers_.end() &&
                          known->second->listed.born == listed.born &&
                          known->second->listed.address == listed.address;
        auto item = same ? known->second : std::make_shared<known_server>();
        item->listed = listed;
        // Once draining, a lifetime never takes new work again.
        const bool was_usable = !same || item->usable;
        item->usable =
            was_usable && listed.state == protocol::server_state::ready;
        if (listed.leaves_ms >= 0)
        {
            item->ends_at = read + milliseconds{listed.leaves_ms};
        }
        next[listed.id] = std::move(item);
    }
    std::vector<std::shared_ptr<known_server>> lost;
    for (const auto& [id, item] : servers_)
    {
        const auto kept = next.find(id);
        const bool same = kept != next.end() && kept->second == item;
        if (!same)
        {
            item->usable = false;
            lost.push_back(item);
        }
    }
    servers_ = std::move(next);
    return lost;
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

std::size_t placement::usable(const std::string& service) const
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [&](const auto& item) {
            return item.second->usable &&
                   item.second->listed.service == service;
        }));
}

// [prediction] ---------------------------------------------------------------

/// @return Tokens from the prompt's start that the server has kept, as far as
///     this entry can know.
std::uint64_t placement::cached(monotonic_time now, const known_server& server,
                                const prompt_size& prompt) const
{
    std::uint64_t tokens = 0;
    for (const auto& part : prompt.parts)
    {
        const auto found = cache_.find(place_of(server.listed.id, part.id));
        if (found == cache_.end() ||
            now - found->second > settings_.cache_memory)
        {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

double placement::predict_ms(const known_server& server,
                             const prompt_size& prompt,
                             std::uint64_t uncached) const
{
    const double running = server.running + server.peer_load.running;
    const double slots = std::max(1U, server.listed.slots);
    if (prompt.prompt_tokens == 0)
    {
        const double queued = std::max(0.0, running + 1 - slots);
        const double busy = running / slots;
        return settings_.request_ms * server.slowness *
               (1 + 0.3 * busy + queued / slots);
    }
    const double waiting = static_cast<double>(server.waiting_tokens +
                                               server.peer_load.waiting_tokens);
    const double over = std::max(0.0, running + 1 - slots);
    const auto held = held_ms_.find(server.listed.service);
    const double held_ms =
        held == held_ms_.end() ? settings_.first_held_ms : held->second;
    return alone_ms(server, prompt, uncached) +
           waiting / speed_of(server) * server.slowness +
           over * held_ms / slots;
}

/// @return The same on a server that has nothing else to do.
double placement::alone_ms(const known_server& server,
                           const prompt_size& prompt,
                           std::uint64_t uncached) const
{
    if (prompt.prompt_tokens == 0)
    {
        return settings_.request_ms * server.slowness;
    }
    const double prefill = static_cast<double>(uncached) / speed_of(server);
    return (fixed_first_event_ms + prefill) * server.slowness;
}

/// Among many entries that are told the same loads, each would choose the same
/// server until it is told the next. So an entry looks at a few servers of its
/// own, at the home of the prompt, and at some drawn ones, by which it finds
/// room when its own are full.
void placement::narrow(std::vector<std::shared_ptr<known_server>>& candidates,
                       const std::shared_ptr<known_server>& home)
{
    // Each server is looked at by so many entries as one of their own.
    constexpr std::size_t entries_for_each = 6;
    constexpr std::size_t least_own = 3;
    constexpr std::size_t drawn = 2;
    const auto count = candidates.size();
    const auto own = std::max(
        least_own, entries_ == 0 ? count : count * entries_for_each / entries_);
    if (own + drawn >= count)
    {
        return;
    }
    const auto rank = [&](const auto& item) {
        return item == home ? std::numeric_limits<std::uint64_t>::max()
                            : place_of(item->listed.id, own_rank_);
    };
    const auto at = [&](std::size_t place) {
        return candidates.begin() + static_cast<std::ptrdiff_t>(place);
    };
    std::nth_element(candidates.begin(), at(own), candidates.end(),
                     [&](const auto& left, const auto& right) {
                         return rank(left) > rank(right);
                     });
    for (std::size_t place = own; place < own + drawn; ++place)
    {
        std::uniform_int_distribution<std::size_t> draw{place, count - 1};
        std::swap(*at(place), *at(draw(random_)));
    }
    candidates.resize(own + drawn);
}

std::optional<placement_choice>
placement::choose(monotonic_time now, const std::string& service,
                  const prompt_size& prompt, const std::set<std::string>& tried,
                  const connection_probe& connected,
                  const version_choice& versions)
{
    const auto serves = [&](const known_server& server) {
        return server.usable && server.listed.service == service &&
               server.paused_until <= now &&
               versions.admits(server.listed.version);
    };
    const auto shared = shared_part(prompt);
    std::shared_ptr<known_server> home;
    std::uint64_t highest = 0;
    bool any_trusted = false;
    for (const auto& [id, item] : servers_)
    {
        if (!serves(*item))
        {
            continue;
        }
        any_trusted =
            any_trusted || (item->avoid_until <= now && !tried.contains(id));
        const auto rank = place_of(id, shared);
        if (shared != 0 && rank >= highest)
        {
            highest = rank;
            home = item;
        }
    }
    std::vector<std::shared_ptr<known_server>> candidates;
    for (const auto& [id, item] : servers_)
    {
        const bool fits = serves(*item) && !tried.contains(id) &&
                          (item->avoid_until <= now || !any_trusted);
        if (fits)
        {
            candidates.push_back(item);
        }
    }
    narrow(candidates, home);
    placement_choice best;
    double least = std::numeric_limits<double>::infinity();
    std::uniform_real_distribution<double> noise{0, 1};
    for (const auto& item : candidates)
    {
        const auto kept = cached(now, *item, prompt);
        double uncached = static_cast<double>(
            prompt.prompt_tokens -
            std::min<std::uint64_t>(prompt.prompt_tokens, kept));
        const double own_part =
            prompt.parts.empty() ? uncached : prompt.parts.back().tokens;
        double shared_uncached = std::max(0.0, uncached - own_part);
        if (item == home && !prompt.parts.empty())
        {
            uncached -= settings_.believed_cache * shared_uncached;
            shared_uncached *= 1 - settings_.believed_cache;
        }
        const auto rest = static_cast<std::uint64_t>(uncached);
        const double predicted = predict_ms(*item, prompt, rest);
        const double beside = item->running + item->peer_load.running;
        const double cost =
            predicted +
            settings_.disturbance * beside * uncached / speed_of(*item) +
            settings_.reading_again * shared_uncached +
            (item->listed.failure_domain == failure_domain_
                 ? 0
                 : settings_.other_domain_ms) +
            (connected && !connected(item->listed.address)
                 ? settings_.new_connection_ms
                 : 0) +
            item->failure_rate * settings_.failure_ms + noise(random_);
        if (cost < least)
        {
            least = cost;
            best = {item,
                    milliseconds{static_cast<std::int64_t>(predicted)},
                    milliseconds{static_cast<std::int64_t>(
                        alone_ms(*item, prompt, rest))},
                    rest,
                    item->waiting_tokens + item->peer_load.waiting_tokens,
                    prompt.prompt_tokens};
        }
    }
    return best.server ? std::optional{best} : std::nullopt;
}

// [observing] ----------------------------------------------------------------

void placement::on_sent(monotonic_time now, const placement_choice& choice,
                        const prompt_size& prompt)
{
    auto& server = *choice.server;
    ++server.running;
    server.waiting_tokens += choice.uncached_tokens;
    if (cache_.size() > most_cache_entries)
    {
        std::erase_if(cache_, [&](const auto& item) {
            return now - item.second > settings_.cache_memory / 4;
        });
    }
    for (const auto& part : prompt.parts)
    {
        cache_[place_of(server.listed.id, part.id)] = now;
    }
}

void placement::on_first_event(const placement_choice& choice,
                               milliseconds took)
{
    auto& server = *choice.server;
    server.waiting_tokens -=
        std::min(server.waiting_tokens, choice.uncached_tokens);
    const double expected =
        std::max<double>(1, static_cast<double>(choice.predicted.count()));
    const double ratio = std::clamp(
        server.slowness * static_cast<double>(took.count()) / expected, 0.3,
        20.0);
    server.slowness += slowness_smoothing * (ratio - server.slowness);
    learn_speed(choice,
                static_cast<double>(took.count()) - fixed_first_event_ms);
}

/// Only what found nothing ahead tells how fast an engine reads; the rest tells
/// how long it waited.
void placement::learn_speed(const placement_choice& choice, double prefill_ms)
{
    // Below it the fixed cost of a prompt hides the speed.
    constexpr std::uint64_t enough_tokens = 1'000;
    constexpr double slowest = 5;
    constexpr double fastest = 1'000;
    if (choice.uncached_tokens < enough_tokens || choice.waiting_tokens > 0 ||
        prefill_ms < 1)
    {
        return;
    }
    auto& known = speeds_[choice.server->listed.service];
    const double seen =
        std::clamp(static_cast<double>(choice.uncached_tokens) / prefill_ms,
                   slowest, fastest);
    ++known.samples;
    // The mean of the first ones, then of about the last twenty.
    const double part = std::max(rate_smoothing, 1.0 / known.samples);
    known.tokens_per_ms += part * (seen - known.tokens_per_ms);
}

double placement::speed_of(const known_server& server) const
{
    const auto known = speeds_.find(server.listed.service);
    return known == speeds_.end() ? settings_.first_tokens_per_ms
                                  : known->second.tokens_per_ms;
}

void placement::on_ended(const placement_choice& choice, bool first_event_seen,
                         milliseconds held)
{
    auto& server = *choice.server;
    if (first_event_seen && choice.prompt_tokens > 0)
    {
        auto& known =
            held_ms_.try_emplace(server.listed.service, settings_.first_held_ms)
                .first->second;
        known += rate_smoothing * (static_cast<double>(held.count()) - known);
    }
    server.running -= server.running > 0 ? 1 : 0;
    if (!first_event_seen)
    {
        server.waiting_tokens -=
            std::min(server.waiting_tokens, choice.uncached_tokens);
    }
}

void placement::on_failure(monotonic_time now, known_server& server)
{
    server.failure_rate += failure_smoothing * (1 - server.failure_rate);
    ++server.failures_in_row;
    if (server.failures_in_row >= failures_to_avoid)
    {
        const auto doublings =
            std::min(server.failures_in_row - failures_to_avoid, 5U);
        const auto pause = std::min<milliseconds>(
            settings_.longest_avoidance,
            settings_.first_avoidance * (std::int64_t{1} << doublings));
        server.avoid_until = now + pause;
    }
}

void placement::on_unreachable(monotonic_time now, known_server& server)
{
    server.failures_in_row =
        std::max(server.failures_in_row, failures_to_avoid - 1);
    on_failure(now, server);
}

void placement::on_success(known_server& server)
{
    server.failure_rate -= failure_smoothing * server.failure_rate;
    server.failures_in_row = 0;
    server.avoid_until = {};
}

void placement::on_full(monotonic_time now, known_server& server)
{
    on_pause(now, server, settings_.full_for);
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
        if (item->usable && item->listed.service == service && until > now)
        {
            const auto left = std::chrono::ceil<milliseconds>(until - now);
            least = std::min(least.value_or(left), left);
        }
    }
    return least;
}

std::map<std::string, protocol::sent_load> placement::own_load() const
{
    std::map<std::string, protocol::sent_load> load;
    for (const auto& [id, item] : servers_)
    {
        if (item->running > 0)
        {
            load[id] = {item->running, item->waiting_tokens};
        }
    }
    return load;
}

} // namespace hyssopdeal::coordination
