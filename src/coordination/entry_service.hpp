#ifndef HYSSOPDEAL_SRC_COORDINATION_ENTRY_SERVICE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_ENTRY_SERVICE_HPP

/// @file
/// Internal: callers' HTTP. Reads a request, finds its organisation, service
/// and route, and starts its flow, or answers what is wrong with it.
///
/// Index: [entry_service]

#include <cstdint>
#include <string>
#include <string_view>

#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_message.hpp>
#include <hyssopdeal/transport/http_server.hpp>

#include "entry_shard.hpp"
#include "request_flow.hpp"

namespace hyssopdeal::coordination
{

// [entry_service] ------------------------------------------------------------

/// Requests of one shard.
class entry_service
{
public:
    explicit entry_service(entry_shard& shard);

    /// Answers a request, at once or later.
    void handle(transport::http_request request,
                transport::http_responder responder);

private:
    [[nodiscard]] transport::result<accepted_request>
    accept(transport::http_request request,
           std::shared_ptr<const std::string> body);
    void serve(transport::http_request request,
               transport::http_responder responder);
    void resume(const transport::http_request& request, std::string_view id,
                transport::http_responder responder);
    void resume_elsewhere(const transport::http_request& request,
                          std::string_view id, const std::string& organisation,
                          std::uint64_t last,
                          transport::http_responder responder);
    [[nodiscard]] transport::http_response readiness() const;

    entry_shard& shard_;
};

} // namespace hyssopdeal::coordination

#endif
