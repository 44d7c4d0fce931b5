#ifndef HYSSOPDEAL_SRC_COORDINATION_CONTROL_API_CALL_HPP
#define HYSSOPDEAL_SRC_COORDINATION_CONTROL_API_CALL_HPP

/// @file
/// One request of an operator. Internal.
///
/// Index: [call]

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/control_api.hpp"
#include "coordination/control_json.hpp"

namespace hyssopdeal::coordination
{

// [call] ---------------------------------------------------------------------

/// A request cut into its parts, with the means to answer it.
struct control_api::call
{
    call(const transport::http_request& asked,
         transport::http_responder answer);

    void answer(int status, const json& body, state::log_index index) const;
    void refuse(const transport::failure& error,
                const std::string& leader = {}) const;

    /// @return A part of the path, empty when there is none.
    [[nodiscard]] std::string part(std::size_t at) const;

    /// @return The record that the path names.
    [[nodiscard]] std::optional<json>
    record(const state::control_tables& tables) const;

    [[nodiscard]] static std::optional<std::uint64_t>
    number(std::string_view text);

    transport::http_request request;
    transport::http_responder responder;
    std::vector<std::string> parts;
    std::string query;
};

} // namespace hyssopdeal::coordination

#endif
