#include "service_lane.hpp"

#include <utility>

#include <hyssopdeal/coordination/evacuation/evacuation_orders.hpp>

namespace hyssopdeal::coordination
{

using transport::reason;

service_lane::service_lane(transport::event_loop& loop,
                           const transport::clock& clock,
                           transport::http_client& client,
                           std::mt19937_64& random, router_settings settings)
    : loop_(loop),
      clock_(clock),
      random_(random),
      router_(std::move(settings)),
      feed_(loop, clock, client, router_, [this] { serve_queue(); })
{}

service_lane::~service_lane() = default;

void service_lane::set_service(const protocol::service& declared,
                               const std::vector<std::string>& leaving,
                               const domain_names& evacuated)
{
    router_.set_service(declared, leaving, evacuated);
    feed_.set_service(declared);
    if (has_evacuated_server(declared, evacuated) &&
        !router_.has_server(clock_.monotonic_now()))
    {
        refuse_all(reason::no_backend_server);
    }
    serve_queue();
}

void service_lane::enter(lane_request request)
{
    if (queue_.size() > 0)
    {
        enqueue(std::move(request));
        serve_queue();
        return;
    }
    auto choice =
        router_.choose(clock_.monotonic_now(), request.route, random_);
    if (!choice && choice.error().code == reason::overloaded)
    {
        enqueue(std::move(request));
        return;
    }
    request.on_outcome({std::move(choice)});
}

void service_lane::enqueue(lane_request request)
{
    queued_request queued;
    queued.number = ++last_number_;
    queued.priority = request.route.priority;
    queued.deadline = request.deadline;
    const auto refusal = queue_.push(clock_.monotonic_now(), queued);
    waiting_.emplace(queued.number, std::move(request));
    if (refusal)
    {
        refuse({*refusal});
    }
    schedule_refusals();
}

void service_lane::serve_queue()
{
    if (std::exchange(serving_queue_, true))
    {
        return;
    }
    while (queue_.size() > 0)
    {
        const auto now = clock_.monotonic_now();
        const auto next = queue_.pop(now, router_.rooms(now));
        if (!next)
        {
            break;
        }
        auto found = waiting_.extract(next->number);
        auto& request = found.mapped();
        auto choice =
            router_.choose(clock_.monotonic_now(), request.route, random_);
        if (!choice && choice.error().code == reason::overloaded)
        {
            // The class has capacity, but no server that this request may use:
            // it goes back to the queue.
            enqueue(std::move(request));
            break;
        }
        request.on_outcome({std::move(choice)});
    }
    serving_queue_ = false;
    refuse(queue_.take_refusals(clock_.monotonic_now()));
    schedule_refusals();
}

void service_lane::refuse(const std::vector<admission_refusal>& refusals)
{
    for (const auto& refusal : refusals)
    {
        if (auto found = waiting_.extract(refusal.number))
        {
            found.mapped().on_outcome(
                {tl::unexpected(refusal.error), refusal.retry_after});
        }
    }
}

void service_lane::schedule_refusals()
{
    const auto next = queue_.next_refusal();
    if (!next)
    {
        timer_.cancel();
        return;
    }
    timer_ =
        loop_.after(*next - clock_.monotonic_now(), [this] { serve_queue(); });
}

void service_lane::on_first_token(route_choice& choice)
{
    router_.on_first_token(clock_.monotonic_now(), choice);
}

void service_lane::on_ended(const route_choice& choice, attempt_outcome outcome,
                            double output_tokens)
{
    router_.on_ended(clock_.monotonic_now(), choice, outcome, output_tokens);
    serve_queue();
}

void service_lane::on_refused(const route_choice& choice)
{
    router_.on_refused(clock_.monotonic_now(), choice);
    serve_queue();
}

void service_lane::refuse_all(reason code)
{
    refuse(queue_.refuse_all(clock_.monotonic_now(), code));
}

service_router& service_lane::router() noexcept
{
    return router_;
}

std::size_t service_lane::waiting() const noexcept
{
    return waiting_.size();
}

} // namespace hyssopdeal::coordination
