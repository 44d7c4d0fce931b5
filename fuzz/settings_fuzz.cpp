/// @file
/// Feeds bytes to the reader of an entry's settings and of declarations.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include <hyssopdeal/coordination/entry_settings.hpp>
#include <hyssopdeal/protocol/contract_json.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace hyssopdeal;
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    static_cast<void>(protocol::read_settings<coordination::entry_settings>(
        text, "settings"));
    static_cast<void>(protocol::read_service(text, "service"));
    const auto contract = protocol::read_contract(text, "contract");
    // What is written must be read as the same.
    if (contract)
    {
        const auto again = protocol::read_contract(
            protocol::write_contract(*contract), "written");
        if (!again || !(*again == *contract))
        {
            std::abort();
        }
    }
    return 0;
}
