#include <hyssopdeal/transport/file_limit.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

#include <sys/resource.h>

namespace hyssopdeal::transport
{

std::size_t open_file_limit() noexcept
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
    {
        return 0;
    }
    constexpr rlim_t largest = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::size_t>(std::min(limit.rlim_cur, largest));
}

} // namespace hyssopdeal::transport
