#include "gossip_queue.hpp"

#include <algorithm>
#include <iterator>

namespace hyssopdeal::coordination
{

void gossip_queue::add(std::string_view name)
{
    std::erase_if(items_,
                  [&](const item& known) { return known.name == name; });
    items_.insert(items_.begin(), item{std::string{name}, 0});
}

std::vector<std::string> gossip_queue::take(std::size_t count,
                                            std::uint32_t transmissions)
{
    std::vector<std::string> names;
    const auto taken = std::min(count, items_.size());
    names.reserve(taken);
    for (std::size_t position = 0; position < taken; ++position)
    {
        names.push_back(items_[position].name);
        ++items_[position].sent;
    }
    std::erase_if(
        items_, [&](const item& known) { return known.sent >= transmissions; });
    std::stable_sort(items_.begin(), items_.end(),
                     [](const item& left, const item& right) {
                         return left.sent < right.sent;
                     });
    return names;
}

} // namespace hyssopdeal::coordination
