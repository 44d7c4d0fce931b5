#ifndef HYSSOPDEAL_SRC_COORDINATION_REQUEST_FLOW_HPP
#define HYSSOPDEAL_SRC_COORDINATION_REQUEST_FLOW_HPP

/// @file
/// Internal: handling of one request from admission to response. Streaming
/// requests are passed to a stream_session after admission.
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

/// A validated request of a known organisation for a known route.
struct accepted_request
{
    transport::http_request http;            ///< As received, without the body.
    std::shared_ptr<const std::string> body; ///< Not null.
    std::string organisation;
    double retry_ratio = 0; ///< From the contract.
    std::string service;
    protocol::service_kind kind = protocol::service_kind::plain;
    protocol::route route;
    std::string server_target;   ///< Path and query for the backend server.
    protocol::chat_request chat; ///< For model services.
    std::string idempotency_key; ///< Empty if absent.
    transport::monotonic_time arrived;
    transport::monotonic_time deadline;
    protocol::trace_context trace; ///< Context of the entry's span.
    std::uint64_t caller_span = 0; ///< 0 if the trace starts at this entry.
};

/// @return The request to send to a backend server, without its body.
[[nodiscard]] transport::http_request
request_for_server(const accepted_request& request,
                   transport::monotonic_time now);

/// @return Limits of an attempt that starts now.
[[nodiscard]] transport::http_call_settings
limits_for_server(const accepted_request& request, const entry_shard& shard);

// [request_flow] -------------------------------------------------------------

/// Handles one request; pending callbacks keep the object alive.
class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(entry_shard& shard, accepted_request request,
                 transport::http_responder responder);
    ~request_flow();

    /// Admits the request, or refuses it at once.
    void start();

private:
    // request_flow_claims.cpp: claims of at-most-once calls.
    [[nodiscard]] bool requires_claim() const noexcept;
    void claim();
    void on_claim(ledger_answer claimed);
    void release_claim();
    void finish_claim(const transport::http_response& answer);
    void abandon_claim();

    // request_flow.cpp
    void begin_attempt();
    void choose();
    void on_server_choice(lane_outcome outcome);
    void dispatch();
    void on_answer(transport::result<transport::http_response> answer);
    void record_version_failure(std::string_view server,
                                const transport::failure& error);
    void on_failure(const transport::failure& error);
    void refuse(const transport::failure& error,
                std::chrono::milliseconds retry_after);
    void answer(transport::http_response response);
    [[nodiscard]] service_lane* find_lane();

    entry_shard& shard_;
    accepted_request request_;
    transport::http_responder responder_;
    std::optional<permit> permit_;
    std::optional<ledger_claim> claim_; ///< Permits one dispatch.
    std::optional<route_choice> choice_;
    std::vector<std::string> failed_servers_;
    std::uint32_t attempts_ = 0;
    transport::monotonic_time span_started_; ///< Start of the current span.
    transport::verdict verdict_ =
        transport::verdict::not_run; ///< Highest of all attempts.
    watched_attempt watched_attempt_;
    transport::http_call call_;
    transport::timer_handle retry_timer_;
};

} // namespace hyssopdeal::coordination

#endif
