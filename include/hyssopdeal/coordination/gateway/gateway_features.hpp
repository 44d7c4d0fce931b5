#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_GATEWAY_FEATURES_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_GATEWAY_FEATURES_HPP

/// @file
/// Turns on features of a gateway that are off by default.
///
/// Index: [features]

#include <hyssopdeal/coordination/gateway/gateway_core.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [features] -----------------------------------------------------------------

/// Name of the variable of the environment that lists features.
inline constexpr const char* features_variable = "HYSSOPDEAL_FEATURES";

/// @param listed `work_placement` (placement_settings::predict_by_work) and
///     `priority_admission`, separated by commas; null if the variable is not set.
/// @return `bad_request` naming the first that is not known.
[[nodiscard]] transport::result<void>
enable_features(gateway_settings& settings, const char* listed);

} // namespace hyssopdeal::coordination

#endif
