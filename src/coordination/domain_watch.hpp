#ifndef HYSSOPDEAL_COORDINATION_DOMAIN_WATCH_HPP
#define HYSSOPDEAL_COORDINATION_DOMAIN_WATCH_HPP

/// @file
/// Internal: distinguishes an unreachable failure domain from a single
/// instance that does not respond.
///
/// Index: [domain_watch]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/membership.hpp>

namespace hyssopdeal::coordination
{

// [domain_watch] -------------------------------------------------------------

/// Counts the failed probes of each other failure domain since the last message
/// from it.
class domain_watch
{
public:
    /// @param failure_threshold Consecutive failed probes after which a domain
    ///     counts as cut off.
    explicit domain_watch(std::uint32_t failure_threshold);

    /// Adds a domain. Does nothing if the name is empty or already known.
    void add(std::string_view domain);

    /// Records a message, of any kind, from a member of the domain.
    void on_message(std::string_view domain);

    /// Records that a member of the domain did not answer a probe.
    ///
    /// @param target The probed member. The next probe of the domain should
    ///     choose another one.
    void on_probe_failed(std::string_view domain, std::string_view target);

    [[nodiscard]] reachability state(std::string_view domain) const noexcept;

    /// @return The domain to probe next: the one whose probe has just failed,
    ///     unless it is cut off; otherwise round robin. Empty if no domain is
    ///     known.
    [[nodiscard]] std::string next_domain();

    /// @return The member whose probe failed last in the domain; empty if the
    ///     domain has sent a message since.
    [[nodiscard]] std::string last_failed(std::string_view domain) const;

    /// @return All known domains.
    [[nodiscard]] std::vector<std::string> domains() const;

private:
    struct domain_record
    {
        std::string domain;
        std::string last_failed;
        std::uint32_t consecutive_failures = 0;
    };

    [[nodiscard]] const domain_record*
    find(std::string_view domain) const noexcept;
    [[nodiscard]] domain_record* find(std::string_view domain) noexcept;

    std::uint32_t failure_threshold_;
    std::vector<domain_record> records_;
    std::size_t last_index_ = 0; ///< Last index chosen by round robin.
    std::string retry_domain_;   ///< Probed again next; empty if none.
};

} // namespace hyssopdeal::coordination

#endif
