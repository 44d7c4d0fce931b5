#ifndef HYSSOPDEAL_COORDINATION_HOLDER_CHOICE_HPP
#define HYSSOPDEAL_COORDINATION_HOLDER_CHOICE_HPP

/// @file
/// Picks the entry instance that keeps a stream's copy.
///
/// Index: [entry_member] [holder_choice]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopdeal::coordination
{

// [entry_member] -------------------------------------------------------------

/// Whether an entry instance can keep copies.
enum class entry_liveness : std::uint8_t
{
    alive,
    suspect, ///< Only when there is no other.
    leaving  ///< Or dead: never.
};

/// An entry instance as membership sees it.
struct entry_member
{
    std::string name;
    std::string failure_domain;
    entry_liveness state = entry_liveness::alive;
};

// [holder_choice] ------------------------------------------------------------

/// How far a copy is from its owner.
enum class copy_spread : std::uint8_t
{
    other_failure_domain,
    own_failure_domain, ///< No other domain is reachable.
    none                ///< No second instance: `Hyssopdeal-Copies: 1`.
};

/// The pick.
struct holder_choice
{
    std::string holder; ///< Empty when spread is none.
    copy_spread spread = copy_spread::none;
};

/// Picks by rendezvous hash, so that every entry that sees the same members
/// picks the same holder for a stream.
///
/// @param stream The stream's id.
/// @param owner The instance that produces the stream.
/// @param own_failure_domain The owner's.
/// @param members All entry instances, the owner among them or not.
/// @param avoid Holders that failed for this stream.
[[nodiscard]] holder_choice
choose_holder(std::string_view stream, std::string_view owner,
              std::string_view own_failure_domain,
              const std::vector<entry_member>& members,
              const std::vector<std::string>& avoid = {});

/// @return Members in the order in which an entry asks them for a stream that
///     it does not hold itself: most probable holder first.
[[nodiscard]] std::vector<std::string>
lookup_order(std::string_view stream, const std::vector<entry_member>& members);

} // namespace hyssopdeal::coordination

#endif
