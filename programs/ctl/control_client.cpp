#include "ctl/control_client.hpp"

#include <charconv>

#include <fmt/format.h>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>

namespace hyssopdeal::ctl
{

namespace
{

using transport::http_request;
using transport::http_response;

constexpr int misdirected = 421;
constexpr int unavailable = 503;

std::uint64_t index_of(const http_response& response)
{
    const auto text =
        transport::find_header(response.headers, "Hyssopdeal-Index");
    std::uint64_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    return index;
}

transport::verdict verdict_of(const http_response& response)
{
    const auto text =
        transport::find_header(response.headers, "Hyssopdeal-Verdict");
    return text == "not_run" ? transport::verdict::not_run
                             : transport::verdict::may_have_run;
}

} // namespace

struct control_client::impl
{
    impl(const transport::clock& with_clock, control_client_settings wanted)
        : clock(with_clock),
          settings(std::move(wanted)),
          client(loop)
    {}

    [[nodiscard]] http_request request_of(const control_order& order) const
    {
        http_request request;
        request.method = order.method;
        request.target = order.target;
        request.body = order.body;
        if (!settings.token.empty())
        {
            request.headers.push_back(
                {"Authorization", "Bearer " + settings.token});
        }
        if (!order.body.empty())
        {
            request.headers.push_back({"Content-Type", "application/json"});
        }
        if (!order.order_id.empty())
        {
            request.headers.push_back({"Hyssopdeal-Order-Id", order.order_id});
        }
        if (order.expected)
        {
            request.headers.push_back(
                {"If-Match", std::to_string(*order.expected)});
        }
        return request;
    }

    transport::result<http_response> try_once(const std::string& to,
                                              const http_request& request)
    {
        transport::result<http_response> got =
            transport::fail(transport::reason::timed_out, "No answer.",
                            transport::verdict::may_have_run);
        transport::http_call_settings limits;
        limits.total_time_limit = settings.call_limit;
        bool ended = false;
        const auto call = client.fetch(
            to, request, limits, [&](transport::result<http_response> answer) {
                got = std::move(answer);
                ended = true;
                loop.stop();
            });
        // The call's own limit ends it; this one is a backstop.
        const auto until = clock.monotonic_now() + 2 * settings.call_limit;
        while (!ended && clock.monotonic_now() < until)
        {
            loop.run_for(settings.call_limit);
        }
        return got;
    }

    // The leader as an answer names it, else the next address in turn.
    void choose_next(const http_response* answer)
    {
        const auto leader =
            answer == nullptr
                ? std::string_view{}
                : transport::find_header(answer->headers, "Hyssopdeal-Leader");
        const bool new_leader = !leader.empty() && leader != address;
        if (new_leader)
        {
            address = leader;
            return;
        }
        turn = (turn + 1) % settings.addresses.size();
        address = settings.addresses[turn];
        loop.run_for(settings.pause);
    }

    const transport::clock& clock;
    control_client_settings settings;
    transport::event_loop loop;
    transport::http_client client;
    std::size_t turn = 0;
    std::string address;
};

control_client::control_client(const transport::clock& clock,
                               control_client_settings settings)
    : impl_(std::make_unique<impl>(clock, std::move(settings)))
{
    impl_->address = impl_->settings.addresses.front();
}

control_client::~control_client() = default;

transport::result<control_answer>
control_client::send(const control_order& order)
{
    auto& self = *impl_;
    const auto request = self.request_of(order);
    const auto until = self.clock.monotonic_now() + self.settings.time_limit;
    auto worst = transport::verdict::not_run;
    std::string last;
    do
    {
        const auto got = self.try_once(self.address, request);
        const bool again =
            !got || got->status == misdirected || got->status == unavailable;
        if (!again)
        {
            return control_answer{got->status, got->body, index_of(*got)};
        }
        if (got)
        {
            last = fmt::format("{} answered {}", self.address, got->status);
        }
        else
        {
            last = fmt::format("{}: {}", self.address, got.error().text);
        }
        const bool may_run =
            got ? got->status == unavailable &&
                      verdict_of(*got) != transport::verdict::not_run
                : got.error().ran != transport::verdict::not_run;
        if (may_run && !order.order_id.empty())
        {
            worst = transport::verdict::may_have_run;
        }
        self.choose_next(got ? &*got : nullptr);
    } while (self.clock.monotonic_now() < until);
    return transport::fail(transport::reason::no_quorum,
                           "No control replica took it: " + last, worst);
}

} // namespace hyssopdeal::ctl
