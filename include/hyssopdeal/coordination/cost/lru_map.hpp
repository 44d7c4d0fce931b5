#ifndef HYSSOPDEAL_COORDINATION_COST_LRU_MAP_HPP
#define HYSSOPDEAL_COORDINATION_COST_LRU_MAP_HPP

/// @file
/// A map with a bounded number of keys. Adding a key beyond the bound evicts
/// the one that was updated least recently. Performs no I/O.
///
/// Index: [lru_map]

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace hyssopdeal::coordination
{

/// Keys of each table of the cost model.
constexpr std::size_t max_cost_keys = 4'096;

// [lru_map] ------------------------------------------------------------------

template <class Value>
class lru_map
{
public:
    lru_map() = default;
    lru_map(const lru_map&) = delete; // The index refers to the items.
    lru_map& operator=(const lru_map&) = delete;

    /// @return The value of a key, added if it is missing.
    Value& update(const std::string& key)
    {
        const auto known = index_.find(key);
        if (known != index_.end())
        {
            items_.splice(items_.begin(), items_, known->second);
            return items_.front().second;
        }
        if (index_.size() >= max_cost_keys)
        {
            index_.erase(items_.back().first);
            items_.pop_back();
        }
        items_.emplace_front(key, Value{});
        index_.emplace(key, items_.begin());
        return items_.front().second;
    }

    /// @return Null if the key is not known.
    [[nodiscard]] const Value* find(const std::string& key) const
    {
        const auto known = index_.find(key);
        return known == index_.end() ? nullptr : &known->second->second;
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return index_.size();
    }

    /// @return All keys and values, the latest updated first.
    [[nodiscard]] const std::list<std::pair<std::string, Value>>&
    items() const noexcept
    {
        return items_;
    }

private:
    using list_type = std::list<std::pair<std::string, Value>>;
    list_type items_;
    std::unordered_map<std::string, typename list_type::iterator> index_;
};

} // namespace hyssopdeal::coordination

#endif
