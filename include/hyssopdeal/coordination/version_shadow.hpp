#ifndef HYSSOPDEAL_COORDINATION_VERSION_SHADOW_HPP
#define HYSSOPDEAL_COORDINATION_VERSION_SHADOW_HPP

/// @file
/// Decides on an entry which requests are copied to a version under test, so
/// that it is judged before, and faster than, callers meet it.
///
/// Index: [settings] [version_shadow]
///
/// The answer to a copy is discarded: it goes only to version_observer and
/// version_guard. Copies are sent at the lowest priority and are never made of
/// a request that must run at most once.

#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

#include <hyssopdeal/protocol/contract.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// How many requests are copied.
struct version_shadow_settings
{
    double part_before = 0.5;     ///< Of the requests, at share zero.
    double part_at_canary = 0.1;  ///< Of the requests, up to canary_share.
    double canary_share = 0.01;   ///< Above it nothing is copied.
    std::uint32_t most_open = 16; ///< Copies at once on one thread.
};

// [version_shadow] -----------------------------------------------------------

/// Used by one thread.
class version_shadow
{
public:
    explicit version_shadow(version_shadow_settings settings = {});

    /// Chooses whether to copy a request. Call on_ended() when the copy ends.
    ///
    /// @param effective Shares from version_guard::effective_shares(); the
    ///     version that a move brings in is the last of two or more.
    /// @param declared The same before the guard: a version that the guard has
    ///     taken out gets no copies.
    /// @return The version to copy it to; empty: none.
    [[nodiscard]] std::string_view
    choose(const std::vector<protocol::version_share>& declared,
           const std::vector<protocol::version_share>& effective,
           protocol::repeatability repeats, std::mt19937_64& random);

    /// Gives a copy's place free.
    void on_ended();

private:
    version_shadow_settings settings_;
    std::uint32_t open_ = 0;
};

} // namespace hyssopdeal::coordination

#endif
