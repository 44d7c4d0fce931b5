#ifndef HYSSOPDEAL_SRC_COORDINATION_REQUEST_FLOW_HPP
#define HYSSOPDEAL_SRC_COORDINATION_REQUEST_FLOW_HPP

/// @file
/// Internal: the way of one request from its admission to its answer. Streams
/// are handed to a stream_session once they are admitted.
///
/// Index: [accepted_request] [request_flow]

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <hyssopdeal/coordination/ledger_client.hpp>
#include <hyssopdeal/coordination/limiter.hpp>
#include <hyssopdeal/coordination/load_balancer_router.hpp>
#include <hyssopdeal/protocol/chat_codec.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/protocol/trace_context.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/http_message.hpp>
#include <hyssopdeal/transport/http_server.hpp>

#include "version_watch.hpp"

namespace hyssopdeal::coordination
{

struct entry_shard;
struct lane_outcome;
class service_lane;

// [accepted_request] ---------------------------------------------------------

/// A request that is known to be well formed, of a known organisation and for
/// a known route.
struct accepted_request
{
    transport::http_request http; ///< As the caller sent it.
    std::string organisation;
    double retry_ratio = 0; ///< Of the contract.
    std::string service;
    protocol::service_kind kind = protocol::service_kind::plain;
    protocol::route route;
    std::string server_target;   ///< Path and query for the backend server.
    protocol::chat_request chat; ///< For model services.
    std::string idempotency_key; ///< Empty: none.
    transport::monotonic_time arrived;
    transport::monotonic_time deadline;
    protocol::trace_context trace; ///< Of the entry's span.
    std::uint64_t caller_span = 0; ///< 0: the trace begins here.
};

/// @return The request that a backend server gets for an attempt.
[[nodiscard]] transport::http_request
request_for_server(const accepted_request& request,
                   transport::monotonic_time now);

/// @return Limits of an attempt that starts now.
[[nodiscard]] transport::http_call_settings
limits_for_server(const accepted_request& request, const entry_shard& shard);

// [request_flow] -------------------------------------------------------------

/// Keeps itself alive until the request is answered.
class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(entry_shard& shard, accepted_request request,
                 transport::http_responder responder);
    ~request_flow();

    /// Admits the request, or answers it at once.
    void start();

private:
    // request_flow_claims.cpp: calls that must run at most once.
    [[nodiscard]] bool is_guarded() const noexcept;
    void claim();
    void on_claim(ledger_answer answer);
    void release_claim();
    void finish_claim(const transport::http_response& answer);
    void forget_claim();

    // request_flow.cpp
    void look_for_server();
    void choose();
    void on_outcome(lane_outcome outcome);
    void dispatch();
    void on_answer(transport::result<transport::http_response> answer);
    void watch_failure(std::string_view server,
                       const transport::failure& error);
    void on_failure(const transport::failure& error);
    void refuse(const transport::failure& error,
                std::chrono::milliseconds retry_after);
    void answer(transport::http_response response);
    [[nodiscard]] service_lane* lane();

    entry_shard& shard_;
    accepted_request request_;
    transport::http_responder responder_;
    std::optional<permit> permit_;
    std::optional<ledger_claim> claim_; ///< Allows one dispatch.
    std::optional<route_choice> choice_;
    std::vector<std::string> failed_servers_;
    std::uint32_t attempts_ = 0;
    transport::monotonic_time step_started_; ///< Of the span under way.
    transport::verdict ran_ = transport::verdict::not_run; ///< So far.
    watched_attempt watched_;
    transport::http_call call_;
    transport::timer_handle retry_timer_;
};

} // namespace hyssopdeal::coordination

#endif
