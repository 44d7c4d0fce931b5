/// @file
/// `overload`: first-token times of interactive calls while drafts are offered
/// at twice the capacity.

#include "bench.hpp"
#include "request_model.hpp"

#include <algorithm>
#include <array>
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
using protocol::priority_class;

constexpr auto report_interval = 250ms;
constexpr auto report_lag = 500ms;
constexpr auto draft_deadline = 10s;
constexpr double interactive_load = 0.1; ///< Of the capacity.

/// What decides about waiting.
enum class overload_policy : std::uint8_t
{
    classes_in_entry,  ///< Queue by class, congestion held back, as built.
    classes_on_server, ///< Engines' priorities alone.
    first_come         ///< No classes anywhere.
};

constexpr std::array<std::string_view, 3> policy_names{
    "classes_in_entry", "classes_on_server", "first_come"};

struct overload_request
{
    transport::monotonic_time at{};
    std::size_t entry = 0;
    priority_class priority = priority_class::standard;
    std::string prompt;
    double output_tokens = 0;
};

struct class_result
{
    std::vector<double> first_token;
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
};

class overload_run
{
public:
    overload_run(const modelled_user& user, overload_policy policy,
                 std::uint64_t seed)
        : user_(user),
          policy_(policy),
          service_(make_service(user)),
          random_(seed)
    {
        for (std::size_t i = 0; i < entry_instances; ++i)
        {
            router_settings settings;
            settings.entry = "e" + std::to_string(i);
            settings.failure_domain = user.domains[i % user.domains.size()];
            settings.cross_domain_hop = user.hop;
            settings.default_output_tokens = user.output_tokens;
            if (policy != overload_policy::classes_in_entry)
            {
                settings.interactive_reserve = 0;
                settings.max_queueing = 1h;
                settings.concurrency.lowest = settings.concurrency.highest;
                settings.concurrency.initial = settings.concurrency.highest;
            }
            routers_.emplace_back(settings);
            routers_.back().set_service(service_, {});
            routers_.back().set_peers(entry_instances);
            queues_.emplace_back();
        }
        for (const auto& declared : service_.servers)
        {
            servers_.push_back(std::make_unique<model_server>(loop_, declared));
        }
    }

    void run(std::chrono::seconds duration)
    {
        make_requests(duration);
        for (const auto& request : requests_)
        {
            loop_.at(request.at, [this, &request] { arrive(request); });
        }
        const auto end = loop_.now() + duration;
        for (auto at = loop_.now(); at < end; at += report_interval)
        {
            loop_.at(at, [this] { report(); });
        }
        loop_.run_until(end + 60s);
    }

    class_result& of(priority_class priority)
    {
        return results_.at(static_cast<std::size_t>(priority));
    }

private:
    void make_requests(std::chrono::seconds duration)
    {
        const double seconds = std::chrono::duration<double>(duration).count();
        const protocol::backend_server server;
        const double tokens =
            model_workers * server.slots * server.decode_tokens_per_second;
        add(priority_class::standard, 2 * tokens / user_.output_tokens, seconds,
            user_.system_bytes, user_.output_tokens);
        constexpr double short_answer = 24;
        add(priority_class::interactive,
            interactive_load * tokens / short_answer, seconds, 600,
            short_answer);
        std::sort(requests_.begin(), requests_.end(),
                  [](const auto& left, const auto& right) {
                      return left.at < right.at;
                  });
    }

    void add(priority_class priority, double rate, double seconds,
             double prompt_bytes, double output_tokens)
    {
        std::exponential_distribution<double> gap{rate};
        for (double at = gap(random_); at < seconds; at += gap(random_))
        {
            overload_request made;
            made.at = loop_.now() +
                      std::chrono::duration_cast<std::chrono::nanoseconds>(
                          std::chrono::duration<double>(at));
            made.entry = random_() % entry_instances;
            made.priority = priority;
            made.prompt.resize(static_cast<std::size_t>(prompt_bytes),
                               static_cast<char>('a' + random_() % 26));
            made.output_tokens = output_tokens;
            requests_.push_back(std::move(made));
        }
    }

    void report()
    {
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            const load_report taken{loop_.now(), servers_[i]->running(),
                                    servers_[i]->queued(), 0};
            loop_.after(report_lag, [this, i, taken] {
                for (std::size_t entry = 0; entry < routers_.size(); ++entry)
                {
                    routers_[entry].on_report(loop_.now(),
                                              service_.servers[i].name, taken);
                    start_waiting(entry);
                }
            });
        }
    }

    void arrive(const overload_request& request)
    {
        ++of(request.priority).offered;
        const bool may_pass = queues_[request.entry].size() == 0;
        if (!may_pass || !start(request))
        {
            wait(request);
            start_waiting(request.entry);
        }
    }

    void wait(const overload_request& request)
    {
        const auto number =
            static_cast<request_number>(&request - requests_.data());
        const bool is_draft = request.priority == priority_class::standard;
        const auto refused = queues_[request.entry].push(
            loop_.now(), {number, request.priority,
                          request.at + (is_draft ? draft_deadline : 2s), 0ms});
        of(request.priority).refused += refused ? 1 : 0;
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
            if (!start(requests_[next->number]))
            {
                wait(requests_[next->number]);
                break;
            }
        }
        for (const auto& refusal : queue.take_refusals(loop_.now()))
        {
            ++of(requests_[refusal.number].priority).refused;
        }
    }

    bool start(const overload_request& request)
    {
        route_request wanted;
        wanted.prompt = request.prompt;
        wanted.max_new_tokens = request.output_tokens;
        wanted.priority = request.priority;
        auto choice =
            routers_[request.entry].choose(loop_.now(), wanted, random_);
        if (!choice)
        {
            return false;
        }
        const auto at = std::stoul(choice->server.substr(1));
        const auto made = std::make_shared<route_choice>(std::move(*choice));
        server_work work;
        work.priority = policy_ == overload_policy::first_come
                            ? 1
                            : static_cast<std::uint32_t>(request.priority);
        work.chain = make_prefix_chain(request.prompt);
        work.prompt_tokens = made->prompt_tokens;
        work.output_tokens = request.output_tokens;
        work.on_first_token = [this, made, &request](double) {
            routers_[request.entry].on_first_token(loop_.now(), *made);
            of(request.priority)
                .first_token.push_back(
                    std::chrono::duration<double>(loop_.now() - request.at)
                        .count());
        };
        work.on_done = [this, made, &request] {
            routers_[request.entry].on_ended(loop_.now(), *made,
                                             attempt_outcome::succeeded,
                                             request.output_tokens);
            start_waiting(request.entry);
        };
        loop_.after(user_.hop, [this, at, made, &request, work] {
            if (!servers_[at]->submit(work))
            {
                ++of(request.priority).refused;
                routers_[request.entry].on_refused(loop_.now(), *made);
            }
        });
        return true;
    }

    modelled_user user_;
    overload_policy policy_;
    protocol::service service_;
    model_loop loop_;
    std::vector<service_router> routers_;
    std::vector<admission_queue> queues_;
    std::vector<std::unique_ptr<model_server>> servers_;
    std::vector<overload_request> requests_;
    std::mt19937_64 random_;
    std::array<class_result, priority_classes> results_;
};

int run_overload(const bench_arguments& arguments)
{
    const std::chrono::seconds duration{arguments.quick ? 30 : 120};
    bool holds = true;
    for (const auto& user : todays_users())
    {
        for (const auto policy :
             {overload_policy::classes_in_entry,
              overload_policy::classes_on_server, overload_policy::first_come})
        {
            overload_run run{user, policy, arguments.seed};
            run.run(duration);
            auto& calls = run.of(priority_class::interactive);
            auto& drafts = run.of(priority_class::standard);
            const auto p95 = quantile_ms(calls.first_token, 0.95);
            const auto target = static_cast<double>(user.target.count());
            print_line("overload",
                       "user={} policy={} interactive={} refused={} "
                       "p50_ms={:.0f} p95_ms={:.0f} p99_ms={:.0f} "
                       "target_ms={:.0f} drafts={} drafts_answered={} "
                       "drafts_refused={} draft_p95_ms={:.0f}",
                       user.name,
                       policy_names.at(static_cast<std::size_t>(policy)),
                       calls.offered, calls.refused,
                       quantile_ms(calls.first_token, 0.5), p95,
                       quantile_ms(calls.first_token, 0.99), target,
                       drafts.offered, drafts.first_token.size(),
                       drafts.refused, quantile_ms(drafts.first_token, 0.95));
            holds = holds && (policy != overload_policy::classes_in_entry ||
                              p95 <= target);
        }
    }
    return holds ? 0 : 1;
}

const bench_registration registration{
    "overload", "interactive calls while drafts are at twice the capacity",
    run_overload};

} // namespace

} // namespace hyssopdeal::bench
