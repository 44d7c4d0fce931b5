/// @file
/// Features of a gateway that are off by default.

#include <hyssopdeal/coordination/gateway/gateway_features.hpp>

#include <algorithm>
#include <string_view>

#include <fmt/format.h>

namespace hyssopdeal::coordination
{

transport::result<void> enable_features(gateway_settings& settings,
                                        const char* listed)
{
    std::string_view names{listed == nullptr ? "" : listed};
    while (!names.empty())
    {
        const auto end = std::min(names.find(','), names.size());
        const auto name = names.substr(0, end);
        names.remove_prefix(std::min(end + 1, names.size()));
        if (name == "work_placement")
        {
            settings.placement_options.predict_by_work = true;
        }
        else if (name == "priority_admission")
        {
            settings.priority_admission = true;
        }
        else
        {
            return transport::fail(
                transport::reason::bad_request,
                fmt::format("{}: found \"{}\", allowed work_placement, "
                            "priority_admission",
                            features_variable, name));
        }
    }
    return {};
}

} // namespace hyssopdeal::coordination
