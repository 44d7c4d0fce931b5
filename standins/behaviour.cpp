#include "behaviour.hpp"

namespace hyssopdeal::standins
{

const char* to_string(version_fault value) noexcept
{
    switch (value)
    {
    case version_fault::none:
        return "none";
    case version_fault::fails:
        return "fails";
    case version_fault::slow:
        return "slow";
    case version_fault::broken:
        return "broken";
    case version_fault::empty:
        return "empty";
    }
    return "none";
}

} // namespace hyssopdeal::standins
