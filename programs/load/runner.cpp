#include "load/runner.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>

#include "load/plan_maker.hpp"

namespace hyssopdeal::load
{

namespace
{

using transport::http_response;

constexpr std::chrono::milliseconds sample_interval{500};
constexpr std::chrono::milliseconds loop_turn{20};
constexpr std::chrono::seconds lookup_limit{5};
constexpr int ok = 200;

std::uint64_t number_in(const std::string& body, const char* key)
{
    const auto value = nlohmann::json::parse(body, nullptr, false);
    return value.is_object() ? value.value(key, std::uint64_t{0}) : 0;
}

// The state of one run, all on one loop.
class runner
{
public:
    runner(const scenario& plan, const run_targets& targets,
           const transport::clock& clock)
        : plan_(plan),
          targets_(targets),
          clock_(clock),
          client_(loop_),
          maker_(plan),
          started_(clock.monotonic_now())
    {}

    run_results run()
    {
        sample_engines();
        schedule_next();
        const auto until = started_ + plan_.duration + plan_.drain;
        while ((!arrivals_over_ || !open_.empty()) &&
               clock_.monotonic_now() < until)
        {
            loop_.run_for(loop_turn);
        }
        note_unfinished();
        read_engines_now();
        check_purchases();
        return std::move(results_);
    }

private:
    struct open_call
    {
        std::unique_ptr<call> running;
        std::size_t class_index = 0;
        std::chrono::nanoseconds arrived{};
        std::string idempotency_key;
    };

    [[nodiscard]] std::chrono::nanoseconds since_start() const
    {
        return clock_.monotonic_now() - started_;
    }

    void schedule_next()
    {
        auto next = std::make_shared<planned_call>(maker_.next());
        if (next->arrives > plan_.duration)
        {
            arrivals_over_ = true;
            return;
        }
        arrival_ = loop_.after(next->arrives - since_start(), [this, next] {
            begin(std::move(*next));
            schedule_next();
        });
    }

    void begin(planned_call planned)
    {
        const auto number = ++last_number_;
        auto& entry = open_[number];
        entry.class_index = planned.class_index;
        entry.arrived = planned.arrives;
        entry.idempotency_key = planned.plan.idempotency_key;
        entry.running = std::make_unique<call>(
            loop_, clock_, client_, targets_.entries, std::move(planned.plan),
            [this, number](call_result result) {
                end(number, std::move(result));
            });
        entry.running->start();
    }

    void end(std::uint64_t number, call_result result)
    {
        const auto found = open_.find(number);
        result.class_index = found->second.class_index;
        result.arrived = found->second.arrived;
        results_.calls.push_back(std::move(result));
        // The call is at work on the stack: it goes at the next turn.
        std::shared_ptr<call> ended = std::move(found->second.running);
        open_.erase(found);
        loop_.post([ended] {});
    }

    void note_unfinished()
    {
        for (auto& [number, entry] : open_)
        {
            call_result result;
            result.class_index = entry.class_index;
            result.arrived = entry.arrived;
            result.total = since_start() - entry.arrived;
            result.idempotency_key = entry.idempotency_key;
            result.reason = "unfinished";
            results_.calls.push_back(std::move(result));
        }
        open_.clear();
    }

    void sample_engines()
    {
        if (targets_.engines.empty())
        {
            return;
        }
        auto sample = std::make_shared<engine_sample>();
        sample->at = since_start();
        auto left = std::make_shared<std::size_t>(targets_.engines.size());
        samples_.clear();
        for (const auto& address : targets_.engines)
        {
            samples_.push_back(
                fetch(address, "/counters",
                      [this, sample, left](const std::string& body) {
                          sample->repeated_tokens +=
                              number_in(body, "repeated_tokens");
                          sample->generated_tokens +=
                              number_in(body, "generated_tokens");
                          if (--*left == 0)
                          {
                              results_.engines.push_back(*sample);
                          }
                      }));
        }
        sample_timer_ =
            loop_.after(sample_interval, [this] { sample_engines(); });
    }

    void read_engines_now()
    {
        sample_engines();
        const auto before = results_.engines.size();
        const auto until = clock_.monotonic_now() + lookup_limit;
        while (!targets_.engines.empty() && results_.engines.size() == before &&
               clock_.monotonic_now() < until)
        {
            loop_.run_for(loop_turn);
        }
    }

    transport::http_call
    fetch(const std::string& address, std::string target,
          const std::function<void(const std::string&)>& on_body)
    {
        transport::http_request request;
        request.target = std::move(target);
        transport::http_call_settings limits;
        limits.total_time_limit = lookup_limit;
        return client_.fetch(
            address, request, limits,
            [on_body](const transport::result<http_response>& answer) {
                on_body(answer && answer->status == ok ? answer->body
                                                       : std::string{});
            });
    }

    // Asks every plain service how often the key of each purchase has run.
    void check_purchases()
    {
        for (const auto& entry : results_.calls)
        {
            if (!targets_.plain.empty() && !entry.idempotency_key.empty())
            {
                check_purchase(entry);
            }
        }
    }

    void check_purchase(const call_result& entry)
    {
        std::uint64_t runs = 0;
        std::size_t left = targets_.plain.size();
        bool heard_all = true;
        std::vector<transport::http_call> calls;
        for (const auto& address : targets_.plain)
        {
            calls.push_back(fetch(address, "/count/" + entry.idempotency_key,
                                  [&](const std::string& body) {
                                      heard_all = heard_all && !body.empty();
                                      runs += number_in(body, "count");
                                      --left;
                                  }));
        }
        while (left > 0)
        {
            loop_.run_for(loop_turn);
        }
        ++results_.purchases_checked;
        const bool told_not_run = entry.outcome == call_outcome::not_run;
        const bool answered = entry.outcome == call_outcome::whole;
        const bool broken = runs > 1 || (told_not_run && runs != 0) ||
                            (answered && heard_all && runs == 0);
        results_.purchases_broken += broken ? 1 : 0;
    }

    const scenario& plan_;
    const run_targets& targets_;
    const transport::clock& clock_;
    transport::event_loop loop_;
    transport::http_client client_;
    plan_maker maker_;
    transport::monotonic_time started_;
    bool arrivals_over_ = false;
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, open_call> open_;
    std::vector<transport::http_call> samples_;
    transport::timer_handle arrival_;
    transport::timer_handle sample_timer_;
    run_results results_;
};

} // namespace

run_results run_scenario(const scenario& plan, const run_targets& targets,
                         const transport::clock& clock)
{
    return runner(plan, targets, clock).run();
}

} // namespace hyssopdeal::load
