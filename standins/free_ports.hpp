#ifndef HYSSOPDEAL_STANDINS_FREE_PORTS_HPP
#define HYSSOPDEAL_STANDINS_FREE_PORTS_HPP

/// @file
/// Ports that the kernel picks, for processes that must name each other's
/// ports in their settings before any of them runs.
///
/// Index: [free_ports]

#include <cstddef>
#include <cstdint>
#include <vector>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::standins
{

// [free_ports] ---------------------------------------------------------------

/// Binds port 0 of 127.0.0.1 for TCP and the same number for UDP, all at the
/// same time, and lets them go. Another process may take one before it is
/// used; whoever cannot bind says so and ends.
///
/// @param count How many.
/// @return Different ports, free a moment ago.
[[nodiscard]] transport::result<std::vector<std::uint16_t>>
free_ports(std::size_t count);

} // namespace hyssopdeal::standins

#endif
