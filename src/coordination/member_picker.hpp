#ifndef HYSSOPDEAL_COORDINATION_MEMBER_PICKER_HPP
#define HYSSOPDEAL_COORDINATION_MEMBER_PICKER_HPP

/// @file
/// Internal: chooses the members for probes, indirect probes and gossip pushes.
///
/// Index: [member_picker]

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/member_table.hpp>

namespace hyssopdeal::coordination
{

// [member_picker] ------------------------------------------------------------

/// Random selection from the member table of one instance.
class member_picker
{
public:
    /// @param self Name of this instance, which is never selected.
    /// @param own_domain Failure domain of this instance.
    member_picker(std::string self, std::string own_domain,
                  std::uint64_t random_seed);

    /// Next member of the own failure domain to probe. Visits all members once
    /// per round, in shuffled order, which bounds the time between two probes
    /// of a member.
    [[nodiscard]] std::optional<protocol::member_update>
    next_probe_target(const member_table& table);

    /// Random member of a failure domain. If random draws find none, the first
    /// one in the table.
    ///
    /// @param except Name of a member to select only if there is no other.
    [[nodiscard]] std::optional<protocol::member_update>
    random_in(const member_table& table, std::string_view domain,
              std::string_view except = {});

    /// Up to `count` distinct random members to send indirect probes through,
    /// preferably of the own failure domain.
    ///
    /// @param except Name of the probed member, which is never selected.
    [[nodiscard]] std::vector<protocol::member_update>
    probe_relays(const member_table& table, std::size_t count,
                 std::string_view except);

    /// Up to `count` distinct random members of the own failure domain.
    [[nodiscard]] std::vector<protocol::member_update>
    sample_own_domain(const member_table& table, std::size_t count);

    /// @return A uniformly distributed number in [0, bound).
    [[nodiscard]] std::size_t random_below(std::size_t bound);

private:
    [[nodiscard]] bool
    is_probe_target(const protocol::member_update& member) const noexcept;

    std::string self_;
    std::string own_domain_;
    std::mt19937_64 random_;
    std::vector<std::string> unvisited_; // not yet visited in this round
};

} // namespace hyssopdeal::coordination

#endif
