#ifndef HYSSOPDEAL_COORDINATION_DOMAIN_WATCH_HPP
#define HYSSOPDEAL_COORDINATION_DOMAIN_WATCH_HPP

/// @file
/// Tells a failure domain that is cut off from a single silent instance.
/// Internal.
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

/// Counts failed probes into each other failure domain since it last answered.
class domain_watch
{
public:
    /// @param cut_off_after Probes that must fail in a row.
    explicit domain_watch(std::uint32_t cut_off_after);

    /// Makes a domain known.
    void add(std::string_view domain);

    /// Any message of a member of the domain arrived.
    void on_message(std::string_view domain);

    /// A probe into the domain got no answer.
    ///
    /// @param target The probed member; the next probe should take another.
    void on_probe_failed(std::string_view domain, std::string_view target);

    [[nodiscard]] reachability state(std::string_view domain) const noexcept;

    /// @return The domain to probe next: one that just failed first, else in
    ///     turn. Empty when there is none.
    [[nodiscard]] std::string next_domain();

    /// @return The member whose probe failed last in the domain.
    [[nodiscard]] std::string last_failed(std::string_view domain) const;

    /// @return All known domains.
    [[nodiscard]] std::vector<std::string> domains() const;

private:
    struct entry
    {
        std::string domain;
        std::string last_failed;
        std::uint32_t failures = 0;
    };

    [[nodiscard]] const entry* find(std::string_view domain) const noexcept;
    [[nodiscard]] entry* find(std::string_view domain) noexcept;

    std::uint32_t cut_off_after_;
    std::vector<entry> entries_;
    std::size_t next_ = 0;
    std::string urgent_; // domain whose last probe failed
};

} // namespace hyssopdeal::coordination

#endif
