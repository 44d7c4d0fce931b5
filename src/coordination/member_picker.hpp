#ifndef HYSSOPDEAL_COORDINATION_MEMBER_PICKER_HPP
#define HYSSOPDEAL_COORDINATION_MEMBER_PICKER_HPP

/// @file
/// Chooses which members to probe, to ask for help and to push to. Internal.
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

/// Random choices over a member table, for one instance.
class member_picker
{
public:
    /// @param self Name of this instance; never chosen.
    /// @param own_domain Its failure domain.
    member_picker(std::string self, std::string own_domain,
                  std::uint64_t random_seed);

    /// Next own-domain member to probe; visits all in shuffled rounds, so that
    /// the time until each one's next probe is bounded.
    [[nodiscard]] std::optional<protocol::member_update>
    next_probe_target(const member_table& table);

    /// A random probed member of one failure domain.
    ///
    /// @param except A name that is not chosen when another exists.
    [[nodiscard]] std::optional<protocol::member_update>
    random_in(const member_table& table, std::string_view domain,
              std::string_view except = {});

    /// Distinct random members, own failure domain first.
    ///
    /// @param except A name that is not chosen.
    [[nodiscard]] std::vector<protocol::member_update>
    probe_relays(const member_table& table, std::size_t count,
                 std::string_view except);

    /// Distinct random members of the own failure domain.
    [[nodiscard]] std::vector<protocol::member_update>
    sample_own_domain(const member_table& table, std::size_t count);

    /// @return A random number below a bound.
    [[nodiscard]] std::size_t below(std::size_t bound);

private:
    [[nodiscard]] bool
    is_probed(const protocol::member_update& entry) const noexcept;

    std::string self_;
    std::string own_domain_;
    std::mt19937_64 random_;
    std::vector<std::string> round_; // own-domain names still to visit
};

} // namespace hyssopdeal::coordination

#endif
