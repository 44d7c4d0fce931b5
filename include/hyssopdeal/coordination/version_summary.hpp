#ifndef HYSSOPDEAL_COORDINATION_VERSION_SUMMARY_HPP
#define HYSSOPDEAL_COORDINATION_VERSION_SUMMARY_HPP

/// @file
/// What entries report of a version's answers: counts and latency histograms
/// by route and load.
///
/// Index: [load_bucket] [answer_kind] [latency_counts] [version_cell]
///        [version_report] [encoding]

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [load_bucket] --------------------------------------------------------------

/// How busy the backend server was when it got the request.
enum class load_bucket : std::uint8_t
{
    light,    ///< Under a third of its slots.
    moderate, ///< Under two thirds.
    heavy     ///< The rest.
};

/// Number of load buckets.
inline constexpr std::size_t load_bucket_count = 3;

/// @param running Requests that run on the server.
/// @param slots Requests at once at full speed.
[[nodiscard]] load_bucket bucket_of(std::uint32_t running,
                                    std::uint32_t slots) noexcept;

/// @return `light`, `moderate` or `heavy`.
[[nodiscard]] std::string_view to_string(load_bucket value) noexcept;

// [answer_kind] --------------------------------------------------------------

/// How an answer of a backend server ended.
enum class answer_kind : std::uint8_t
{
    whole,
    failed, ///< An error status, a lost connection or no answer in time.
    broken, ///< Cut short or not understood.
    empty   ///< Ended well without content.
};

// [latency_counts] -----------------------------------------------------------

/// Counts of durations in bins of equal ratio, from 100 us to 200 s; the first
/// and the last bin hold what lies outside.
class latency_counts
{
public:
    static constexpr std::size_t bin_count = 64; ///< Bins, outer two included.

    /// Adds one duration.
    void add(std::chrono::microseconds value) noexcept;

    /// Adds all counts of another.
    void merge(const latency_counts& other) noexcept;

    /// @return Number of durations added.
    [[nodiscard]] std::uint64_t total() const noexcept;

    /// @param quantile From 0 to 1.
    /// @return The first bin whose cumulative count reaches the quantile.
    [[nodiscard]] std::size_t quantile_bin(double quantile) const noexcept;

    /// @return Durations in bins after the given one.
    [[nodiscard]] std::uint64_t above(std::size_t bin) const noexcept;

    /// @return Upper edge of a bin.
    [[nodiscard]] static std::chrono::microseconds
    upper_edge(std::size_t bin) noexcept;

    /// Counts by bin, as sent in reports.
    std::array<std::uint64_t, bin_count> bins{};
};

// [version_cell] -------------------------------------------------------------

/// Answers of one version on one route at one load.
struct version_cell
{
    std::string version;
    std::string route;
    load_bucket load = load_bucket::light;
    std::uint64_t requests = 0;    ///< All ended, whatever the kind.
    std::uint64_t failed = 0;      ///< answer_kind::failed.
    std::uint64_t broken = 0;      ///< answer_kind::broken.
    std::uint64_t empty = 0;       ///< answer_kind::empty.
    latency_counts first_token;    ///< Of answers that began.
    latency_counts between_tokens; ///< Mean gap, of streams that ended.
};

/// A version that an entry's guard has taken out on this entry.
struct guard_trip
{
    std::string version;
    std::string route;                   ///< Where it failed.
    std::uint64_t failures_in_a_row = 0; ///< How often.
};

// [version_report] -----------------------------------------------------------

/// What one entry saw of one service since its previous report.
struct version_report
{
    std::string entry;                      ///< Who reports.
    std::uint64_t incarnation = 0;          ///< Grows with each restart.
    std::uint64_t sequence = 0;             ///< From 1, by entry and service.
    std::string service;                    ///< What it is about.
    std::vector<version_cell> cells;        ///< Those with answers.
    std::vector<guard_trip> trips;          ///< In force now.
    std::uint64_t offered_requests = 0;     ///< That came in.
    std::uint64_t interactive_requests = 0; ///< Of these, interactive class.
    std::chrono::microseconds busy{};       ///< Slot time used, all servers.
    std::chrono::microseconds period{};     ///< Time since the last report.
};

// [encoding] -----------------------------------------------------------------

/// @return The report as bytes for peer_channel::reports.
[[nodiscard]] std::string encode(const version_report& value);

/// @return The report, or `bad_request` when the bytes are not understood.
[[nodiscard]] transport::result<version_report>
decode_version_report(std::string_view bytes);

} // namespace hyssopdeal::coordination

#endif
