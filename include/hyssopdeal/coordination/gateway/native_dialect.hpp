#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_NATIVE_DIALECT_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_NATIVE_DIALECT_HPP

/// @file
/// The dialect with the `Hyssopdeal-` headers that docs/INTERFACES.md defines.
///
/// Index: [native_dialect]

#include <vector>

#include <hyssopdeal/coordination/gateway/dialect.hpp>

namespace hyssopdeal::coordination
{

// [native_dialect] --------------------------------------------------------------

/// Header names start with `Hyssopdeal-`, except for standard HTTP headers and
/// `X-Request-Deadline-Ms`.
struct native_dialect
{
    [[nodiscard]] static request_metadata
    parse_request(const transport::http_request& request);

    [[nodiscard]] static transport::http_request
    make_request(const transport::http_request& original,
                 const forward_metadata& metadata);

    [[nodiscard]] static response_metadata
    parse_response(int status,
                   const std::vector<transport::http_header>& headers);

    [[nodiscard]] static std::vector<transport::http_header>
    caller_headers(const std::vector<transport::http_header>& headers);

    [[nodiscard]] static transport::http_request
    make_move(std::string_view attempt_id, std::string_view target);

    [[nodiscard]] static move_result parse_move_result(std::string_view source,
                                                       int status,
                                                       std::string_view body);

    [[nodiscard]] static std::optional<transport::http_request>
    make_liveness_check(const protocol::document_service& service);

    [[nodiscard]] static std::optional<server_liveness>
    parse_liveness(int status, std::string_view body,
                   std::string_view attempt_id);
};

static_assert(caller_dialect<native_dialect>);

} // namespace hyssopdeal::coordination

#endif
