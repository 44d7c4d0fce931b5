#ifndef HYSSOPDEAL_SRC_COORDINATION_CONTROL_JSON_HPP
#define HYSSOPDEAL_SRC_COORDINATION_CONTROL_JSON_HPP

/// @file
/// Records of the control state as JSON for operators. Internal.

#include <nlohmann/json.hpp>

#include <hyssopdeal/coordination/replica.hpp>
#include <hyssopdeal/state/control_state.hpp>

namespace hyssopdeal::coordination
{

using json = nlohmann::ordered_json;

[[nodiscard]] json to_json(const state::contract_record& record);
[[nodiscard]] json to_json(const state::service_record& record);
[[nodiscard]] json to_json(const state::move_record& record);
[[nodiscard]] json to_json(const state::leaving_record& record);
[[nodiscard]] json to_json(const state::evacuation_record& record);
[[nodiscard]] json to_json(const state::purchase_record& record);
[[nodiscard]] json to_json(const state::replica_member& member);

/// @return One object for each grant.
[[nodiscard]] json grants_json(const state::control_tables& tables);

/// @return One object for each route of each service.
[[nodiscard]] json routes_json(const state::control_tables& tables);

/// @return One object for each replica, with this one's place in the log.
[[nodiscard]] json log_json_of(const replica_status& status);

/// @return Everything but the ledger's answers.
[[nodiscard]] json export_json(const state::control_state& state);

[[nodiscard]] std::string_view to_string(state::move_phase phase) noexcept;

} // namespace hyssopdeal::coordination

#endif
