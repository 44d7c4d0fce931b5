#ifndef HYSSOPDEAL_TRANSPORT_FILE_LIMIT_HPP
#define HYSSOPDEAL_TRANSPORT_FILE_LIMIT_HPP

/// @file
/// The operating system's limit of open files, which sockets count against.
///
/// Index: [file_limit]

#include <cstddef>

namespace hyssopdeal::transport
{

// [file_limit] ---------------------------------------------------------------

/// @return Files and sockets that this process may have open at once.
[[nodiscard]] std::size_t open_file_limit() noexcept;

} // namespace hyssopdeal::transport

#endif
