/// @file
/// `routing`: first-token times, recomputed prompt tokens and cost of each load
/// balancer on the same requests, and the time of one decision.

#include "bench.hpp"
#include "request_model.hpp"

#include <algorithm>
#include <memory>
#include <string_view>

#include <hyssopdeal/coordination/admission_queue.hpp>
#include <hyssopdeal/coordination/load_balancer_router.hpp>

namespace hyssopdeal::bench
{

namespace
{

using namespace coordination;
using namespace std::chrono_literals;
using transport::monotonic_time;

constexpr auto report_interval = 250ms;
constexpr auto report_lag = 500ms;
constexpr auto cache_event_lag = 500ms;
constexpr auto start_limit = 2s;
constexpr double lost_cache_events = 0.05;

/// A way to route, with its name in the output.
struct policy_variant
{
    std::string_view name;
    balancer_kind kind = balancer_kind::predicted_first_token;
    predicted_first_token_settings prediction{};
    std::uint32_t peers = entry_instances; ///< As told to the router.
};

std::vector<policy_variant> variants()
{
    predicted_first_token_settings whole;
    whole.full_scan_limit = 1'024;
    return {
        {"predicted_first_token"},
        {"predicted_alone", balancer_kind::predicted_first_token, {}, 1},
        {"predicted_whole_scan", balancer_kind::predicted_first_token, whole},
        {"round_robin", balancer_kind::round_robin},
        {"least_reported_load", balancer_kind::least_reported_load},
        {"power_of_two_reported", balancer_kind::power_of_two_reported}};
}

/// What one run measured.
struct routing_result
{
    std::vector<double> first_token;
    double prompt_tokens = 0;
    double prefilled_tokens = 0;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t on_target = 0;
};

/// Entries with a router each, and the servers.
class routing_run
{
public:
    routing_run(const modelled_user& user, const policy_variant& variant,
                std::uint64_t seed)
        : user_(user),
          service_(make_service(user)),
          random_(seed)
    {
        for (std::size_t i = 0; i < entry_instances; ++i)
        {
            add_router(i, variant);
        }
        for (const auto& declared : service_.servers)
        {
            servers_.push_back(std::make_unique<model_server>(loop_, declared));
            watch_cache(servers_.size() - 1);
        }
    }

    routing_result run(const std::vector<modelled_request>& requests,
                       std::chrono::seconds duration)
    {
        first_ = requests.data();
        for (const auto& request : requests)
        {
            loop_.at(request.at, [this, &request] { arrive(request); });
        }
        const auto end = loop_.now() + duration;
        for (auto at = loop_.now(); at < end; at += report_interval)
        {
            loop_.at(at, [this] { report(); });
        }
        loop_.run_until(end + 120s);
        for (const auto& server : servers_)
        {
            result_.prefilled_tokens += server->prefilled_tokens();
        }
        return std::move(result_);
    }

private:
    void add_router(std::size_t number, const policy_variant& variant)
    {
        router_settings settings;
        settings.entry = "e" + std::to_string(number);
        settings.failure_domain = user_.domains[number % user_.domains.size()];
        settings.balancer = variant.kind;
        settings.prediction = variant.prediction;
        settings.cross_domain_hop = user_.hop;
        routers_.emplace_back(settings);
        queues_.emplace_back();
        routers_.back().set_service(service_, {});
        routers_.back().set_peers(variant.peers);
    }

    /// Events reach the entries late, and some never.
    void watch_cache(std::size_t number)
    {
        servers_[number]->on_cache_event = [this,
                                            number](const cache_event& event) {
            if (std::bernoulli_distribution{lost_cache_events}(random_))
            {
                return;
            }
            loop_.after(cache_event_lag, [this, number, event] {
                for (auto& router : routers_)
                {
                    router.on_cache_event(service_.servers[number].name, event);
                }
            });
        };
    }

    void report()
    {
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            const load_report taken{loop_.now(), servers_[i]->running(),
                                    servers_[i]->queued(), 0};
            loop_.after(report_lag, [this, i, taken] {
                for (auto& router : routers_)
                {
                    router.on_report(loop_.now(), service_.servers[i].name,
                                     taken);
                }
                for (std::size_t entry = 0; entry < queues_.size(); ++entry)
                {
                    start_waiting(entry);
                }
            });
        }
    }

    void arrive(const modelled_request& request)
    {
        ++result_.requests;
        if (!start(request))
        {
            wait(request);
        }
    }

    /// Every policy has the same queue, refusals and concurrency limits.
    void wait(const modelled_request& request)
    {
        const auto number = static_cast<request_number>(&request - first_);
        const queued_request waiting{number, protocol::priority_class::standard,
                                     request.at + start_limit, 0ms};
        const auto refused = queues_[request.entry].push(loop_.now(), waiting);
        result_.refused += refused ? 1 : 0;
    }

    void start_waiting(std::size_t entry)
    {
        auto& queue = queues_[entry];
        while (queue.size() > 0)
        {
            const auto next =
                queue.pop(loop_.now(), routers_[entry].rooms(loop_.now()));
            if (!next)
            {
                break;
            }
            const auto& request = first_[next->number];
            if (!start(request))
            {
                wait(request);
                break;
            }
        }
        result_.refused += queue.take_refusals(loop_.now()).size();
    }

    bool start(const modelled_request& request)
    {
        auto& router = routers_[request.entry];
        route_request wanted;
        wanted.prompt = request.prompt;
        auto choice = router.choose(loop_.now(), wanted, random_);
        if (!choice)
        {
            return false;
        }
        result_.prompt_tokens += choice->prompt_tokens;
        const auto at = std::stoul(choice->server.substr(1));
        const bool is_own = service_.servers[at].failure_domain ==
                            user_.domains[request.entry % user_.domains.size()];
        const auto hop = is_own ? 200us : user_.hop;
        const auto made = std::make_shared<route_choice>(*choice);
        server_work work;
        work.chain = make_prefix_chain(request.prompt);
        work.prompt_tokens = choice->prompt_tokens;
        work.output_tokens = request.output_tokens;
        work.on_first_token = [this, made, hop, &request](double) {
            loop_.after(
                hop, [this, made, &request] { first_token(request, *made); });
        };
        work.on_done = [this, made, hop, &request] {
            loop_.after(hop, [this, made, &request] {
                routers_[request.entry].on_ended(loop_.now(), *made,
                                                 attempt_outcome::succeeded,
                                                 request.output_tokens);
                start_waiting(request.entry);
            });
        };
        loop_.after(hop, [this, at, made, &request, work] {
            if (!servers_[at]->submit(work))
            {
                ++result_.refused;
                routers_[request.entry].on_refused(loop_.now(), *made);
            }
        });
        return true;
    }

    void first_token(const modelled_request& request, route_choice& made)
    {
        routers_[request.entry].on_first_token(loop_.now(), made);
        const auto took = loop_.now() - request.at;
        result_.first_token.push_back(
            std::chrono::duration<double>(took).count());
        result_.on_target += took <= user_.target ? 1 : 0;
    }

    modelled_user user_;
    protocol::service service_;
    model_loop loop_;
    const modelled_request* first_ = nullptr;
    std::vector<service_router> routers_;
    std::vector<admission_queue> queues_;
    std::vector<std::unique_ptr<model_server>> servers_;
    std::mt19937_64 random_;
    routing_result result_;
};

double fleet_cost(const protocol::service& service,
                  std::chrono::seconds duration)
{
    double price = 0;
    for (const auto& server : service.servers)
    {
        price += server.price_per_hour;
    }
    return price *
           std::chrono::duration<double, std::ratio<3600>>(duration).count();
}

void print_run(const modelled_user& user, const policy_variant& variant,
               double load, std::chrono::seconds duration, routing_result run)
{
    const double hits = 1 - run.prefilled_tokens / run.prompt_tokens;
    const double cost =
        fleet_cost(make_service(user), duration) * 1'000 /
        static_cast<double>(std::max<std::uint64_t>(run.on_target, 1));
    print_line("routing",
               "user={} load={} policy={} requests={} p50_ms={:.0f} "
               "p95_ms={:.0f} p99_ms={:.0f} prefilled_tokens={:.0f} "
               "prefilled_per_answer={:.0f} hit_share={:.3f} refused={} "
               "on_target={} "
               "cost_per_1000_on_target={:.3f}",
               user.name, load, variant.name, run.requests,
               quantile_ms(run.first_token, 0.5),
               quantile_ms(run.first_token, 0.95),
               quantile_ms(run.first_token, 0.99), run.prefilled_tokens,
               run.prefilled_tokens / static_cast<double>(std::max<std::size_t>(
                                          run.first_token.size(), 1)),
               hits, run.refused, run.on_target, cost);
}

template <load_balancer Balancer>
void time_choice(std::string_view name, Balancer balancer,
                 std::size_t candidates, std::uint64_t seed)
{
    constexpr int choices = 200'000;
    std::mt19937_64 random{seed};
    std::vector<routing_candidate> table(candidates);
    for (auto& row : table)
    {
        row.in_flight = static_cast<double>(random() % 20);
        row.reported_in_flight = row.in_flight;
        row.price_per_hour = 0.35 + static_cast<double>(random() % 3);
    }
    const std::array matches{
        prefix_match{0, 512},
        prefix_match{static_cast<server_index>(candidates - 1), 256}};
    request_profile facts;
    facts.prompt_tokens = 1'500;
    facts.expected_output_tokens = 200;
    facts.matches = matches;
    const transport::system_clock clock;
    const auto start = clock.monotonic_now();
    std::uint64_t sum = 0;
    for (int i = 0; i < choices; ++i)
    {
        sum += balancer.choose(start, facts, table, random);
    }
    const std::chrono::duration<double, std::nano> took =
        clock.monotonic_now() - start;
    print_line("routing_cpu",
               "policy={} candidates={} ns_per_choice={:.0f} check={}", name,
               candidates, took.count() / choices, sum % 1'000);
}

void time_choices(std::uint64_t seed)
{
    for (const std::size_t candidates : {13, 64, 1'024})
    {
        predicted_first_token_settings whole;
        whole.full_scan_limit = 1'024;
        time_choice("predicted_first_token", predicted_first_token{},
                    candidates, seed);
        time_choice("predicted_whole_scan", predicted_first_token{whole},
                    candidates, seed);
        time_choice("round_robin", round_robin{}, candidates, seed);
        time_choice("least_reported_load", least_reported_load{}, candidates,
                    seed);
        time_choice("power_of_two_reported", power_of_two_reported{},
                    candidates, seed);
    }
}

int run_routing(const bench_arguments& arguments)
{
    const std::chrono::seconds duration{arguments.quick ? 30 : 180};
    for (const auto& user : todays_users())
    {
        for (const double load : {0.5, 0.8, 0.9, 1.5})
        {
            const auto requests =
                make_requests(user, load, duration, arguments.seed);
            for (const auto& variant : variants())
            {
                routing_run run{user, variant, arguments.seed};
                print_run(user, variant, load, duration,
                          run.run(requests, duration));
            }
        }
    }
    time_choices(arguments.seed);
    return 0;
}

const bench_registration registration{
    "routing", "load balancers on the same requests; time of a decision",
    run_routing};

} // namespace

} // namespace hyssopdeal::bench
