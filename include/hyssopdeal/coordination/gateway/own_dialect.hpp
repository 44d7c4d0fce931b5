#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_OWN_DIALECT_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_OWN_DIALECT_HPP

/// @file
/// The project's own dialect of callers and backend servers, with the headers
/// of docs/INTERFACES.md.
///
/// Index: [own_dialect]

#include <vector>

#include <hyssopdeal/coordination/gateway/dialect.hpp>

namespace hyssopdeal::coordination
{

// [own_dialect] --------------------------------------------------------------

/// Names all start with `Hyssopdeal-`, but for those of HTTP itself.
struct own_dialect
{
    [[nodiscard]] static request_metadata
    parse_request(const transport::http_request& request);

    [[nodiscard]] static transport::http_request
    make_request(const transport::http_request& original,
                 const forward_metadata& terms);

    [[nodiscard]] static response_metadata
    parse_response(int status, const std::vector<transport::http_header>& headers);

    [[nodiscard]] static std::vector<transport::http_header>
    caller_headers(const std::vector<transport::http_header>& headers);

    [[nodiscard]] static transport::http_request
    make_move(std::string_view attempt_id, std::string_view target);

    [[nodiscard]] static move_result
    parse_move_result(std::string_view source, int status, std::string_view body);
};

static_assert(caller_dialect<own_dialect>);

} // namespace hyssopdeal::coordination

#endif
