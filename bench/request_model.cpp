#include "request_model.hpp"

#include <algorithm>
#include <cmath>

namespace hyssopdeal::bench
{

namespace
{

constexpr std::size_t cache_blocks = 1'500;
constexpr std::size_t max_waiting = 64;
constexpr std::size_t organisations = 5;
constexpr std::size_t max_turns = 6;
constexpr std::chrono::seconds think_time{12};

std::string make_text(std::uint64_t seed, double bytes)
{
    std::mt19937_64 random{seed};
    std::string text(static_cast<std::size_t>(bytes), ' ');
    for (auto& character : text)
    {
        character = static_cast<char>('a' + random() % 26);
    }
    return text;
}

double draw(std::mt19937_64& random)
{
    return std::uniform_real_distribution<double>{0, 1}(random);
}

/// Half of the calls come from the largest organisation.
std::size_t draw_organisation(std::mt19937_64& random)
{
    std::size_t pick = 0;
    while (pick + 1 < organisations && draw(random) < 0.5)
    {
        ++pick;
    }
    return pick;
}

std::chrono::nanoseconds to_time(double seconds)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(seconds));
}

} // namespace

std::vector<modelled_user> todays_users()
{
    modelled_user pomarada;
    pomarada.name = "pomarada";
    pomarada.service = "sidra-llm";
    pomarada.domains = {"sul-a", "sul-b", "sul-c", "sul-d"};
    modelled_user litoral;
    litoral.name = "litoral";
    litoral.service = "hyssop-llm";
    litoral.domains = {"tamarindo", "nosara", "samara", "liberia"};
    litoral.hop = std::chrono::microseconds{1'000};
    litoral.system_bytes = 8'192;
    litoral.turn_bytes = 2'048;
    litoral.output_tokens = 400;
    return {pomarada, litoral};
}

protocol::service make_service(const modelled_user& user)
{
    protocol::service made;
    made.name = user.service;
    made.first_token_target = user.target;
    for (std::size_t i = 0; i < model_workers; ++i)
    {
        protocol::backend_server server;
        server.name = "w" + std::to_string(i);
        server.address = "127.0.0.1:" + std::to_string(9'000 + i);
        server.failure_domain = user.domains[i % user.domains.size()];
        server.version = "v1";
        server.price = i % 3 == 0 ? protocol::price_class::on_demand
                                  : protocol::price_class::reclaimable;
        server.price_per_hour = i % 3 == 0 ? 1.0 : 0.35;
        made.servers.push_back(server);
    }
    return made;
}

std::vector<modelled_request> make_requests(const modelled_user& user,
                                            double load,
                                            std::chrono::seconds duration,
                                            std::uint64_t seed)
{
    const protocol::backend_server server;
    const double capacity = static_cast<double>(model_workers) * server.slots *
                            server.decode_tokens_per_second /
                            user.output_tokens;
    const double turns = (1.0 + max_turns) / 2;
    const double conversations = capacity * load / turns;
    std::mt19937_64 random{seed};
    std::exponential_distribution<double> gap{conversations};
    std::vector<std::string> systems;
    for (std::size_t i = 0; i < organisations; ++i)
    {
        systems.push_back(make_text(seed * 100 + i, user.system_bytes));
    }
    // Conversations that began before the start make the load even.
    const double warm_up =
        std::chrono::duration<double>(think_time).count() * max_turns;
    const double length = std::chrono::duration<double>(duration).count();
    std::vector<modelled_request> requests;
    for (double start = gap(random) - warm_up; start < length;
         start += gap(random))
    {
        const auto who = draw_organisation(random);
        const auto last = 1 + random() % max_turns;
        auto prompt = systems[who];
        for (std::size_t turn = 0; turn < last; ++turn)
        {
            prompt += make_text(random(), user.turn_bytes);
            std::lognormal_distribution<double> output{
                std::log(user.output_tokens) - 0.125, 0.5};
            const double at =
                start + static_cast<double>(turn) *
                            std::chrono::duration<double>(think_time).count();
            const double tokens = std::clamp(output(random), 5.0, 4'000.0);
            if (at >= 0 && at < length)
            {
                requests.push_back(
                    {transport::monotonic_time{std::chrono::hours{1}} +
                         to_time(at),
                     random() % entry_instances, who, prompt, tokens});
            }
            prompt +=
                make_text(random(), tokens * coordination::bytes_per_token);
        }
    }
    std::sort(
        requests.begin(), requests.end(),
        [](const auto& left, const auto& right) { return left.at < right.at; });
    return requests;
}

transport::monotonic_time model_loop::now() const noexcept
{
    return now_;
}

void model_loop::at(transport::monotonic_time time, handler run)
{
    events_.push({std::max(time, now_), order_++, std::move(run)});
}

void model_loop::after(std::chrono::nanoseconds delay, handler run)
{
    at(now_ + delay, std::move(run));
}

void model_loop::run_until(transport::monotonic_time end)
{
    while (!events_.empty() && events_.top().at <= end)
    {
        now_ = events_.top().at;
        const auto run = events_.top().run;
        events_.pop();
        run();
    }
    now_ = std::max(now_, end);
}

model_server::model_server(model_loop& loop,
                           const protocol::backend_server& declared)
    : loop_(loop),
      declared_(declared)
{}

bool model_server::submit(server_work work)
{
    if (waiting_.size() >= max_waiting)
    {
        return false;
    }
    const auto place =
        std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& other) {
            return other.priority > work.priority;
        });
    waiting_.insert(place, std::move(work));
    start_waiting();
    return true;
}

std::uint32_t model_server::running() const noexcept
{
    return running_;
}

std::uint32_t model_server::queued() const noexcept
{
    return static_cast<std::uint32_t>(waiting_.size());
}

double model_server::prefilled_tokens() const noexcept
{
    return prefilled_;
}

void model_server::start_waiting()
{
    while (running_ < declared_.slots && !waiting_.empty())
    {
        const auto next = std::move(waiting_.front());
        waiting_.pop_front();
        start(next);
    }
}

void model_server::start(const server_work& work)
{
    ++running_;
    const double cached =
        std::min(cached_tokens(work.chain), work.prompt_tokens);
    const double uncached = work.prompt_tokens - cached;
    prefilled_ += uncached;
    prefill_free_at_ = std::max(prefill_free_at_, loop_.now()) +
                       to_time(uncached / declared_.prefill_tokens_per_second);
    const auto decode =
        to_time(work.output_tokens / declared_.decode_tokens_per_second);
    loop_.at(prefill_free_at_, [this, work, cached, decode] {
        store(work.chain);
        work.on_first_token(cached);
        loop_.after(decode, [this, work] {
            --running_;
            work.on_done();
            start_waiting();
        });
    });
}

double
model_server::cached_tokens(const coordination::prefix_chain& chain) const
{
    std::size_t known = 0;
    while (known < chain.size && blocks_.contains(chain.blocks.at(known)))
    {
        ++known;
    }
    return static_cast<double>(known * coordination::prefix_block_bytes) /
           coordination::bytes_per_token;
}

void model_server::store(const coordination::prefix_chain& chain)
{
    // From the end, so that the first blocks are the latest used.
    for (std::size_t i = chain.size; i > 0; --i)
    {
        const auto block = chain.blocks.at(i - 1);
        const auto found = blocks_.find(block);
        if (found != blocks_.end())
        {
            recent_.splice(recent_.begin(), recent_, found->second);
            continue;
        }
        recent_.push_front(block);
        blocks_[block] = recent_.begin();
        tell(coordination::cache_event_kind::stored, block);
    }
    while (recent_.size() > cache_blocks)
    {
        tell(coordination::cache_event_kind::evicted, recent_.back());
        blocks_.erase(recent_.back());
        recent_.pop_back();
    }
}

void model_server::tell(coordination::cache_event_kind kind,
                        std::uint64_t block)
{
    ++events_;
    if (on_cache_event)
    {
        on_cache_event({events_, kind, block});
    }
}

double quantile_ms(std::vector<double>& seconds, double share)
{
    if (seconds.empty())
    {
        return 0;
    }
    std::sort(seconds.begin(), seconds.end());
    const auto at = static_cast<std::size_t>(
        share * static_cast<double>(seconds.size() - 1));
    return seconds[at] * 1'000;
}

} // namespace hyssopdeal::bench
