#include "grant_client.hpp"

#include <utility>

#include "grant_wire.hpp"

namespace hyssopdeal::coordination
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{100};
constexpr std::chrono::milliseconds request_timeout{500};
constexpr std::chrono::milliseconds request_interval{1'000};

} // namespace

grant_client::grant_client(transport::event_loop& loop,
                           const transport::clock& clock,
                           protocol::peer_hub& peers, limiter& limits,
                           std::string node, std::vector<std::string> replicas)
    : loop_(loop),
      clock_(clock),
      peers_(peers),
      limits_(limits),
      holder_({std::move(node), request_interval}),
      replicas_(std::move(replicas))
{}

grant_client::~grant_client() = default;

void grant_client::start()
{
    send_request();
    timer_ = loop_.after(poll_interval, [this] { start(); });
}

void grant_client::send_request()
{
    const auto request = holder_.next_request(clock_.monotonic_now(), limits_);
    if (!request)
    {
        return;
    }
    peers_.call(replicas_[replica_index_], protocol::peer_channel::grants,
                encode(*request), request_timeout,
                [this](const auto& payload) { on_answer(payload); });
}

void grant_client::on_answer(const transport::result<std::string>& payload)
{
    const auto now = clock_.monotonic_now();
    const auto answer =
        payload
            ? decode_grant_answer(*payload)
            : transport::result<grant_answer>{tl::unexpected(payload.error())};
    if (answer && answer->term > 0)
    {
        holder_.on_answer(now, *answer, limits_);
        return;
    }
    holder_.on_no_answer(now);
    replica_index_ = (replica_index_ + 1) % replicas_.size();
}

} // namespace hyssopdeal::coordination
