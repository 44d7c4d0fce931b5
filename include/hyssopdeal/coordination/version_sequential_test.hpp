#ifndef HYSSOPDEAL_COORDINATION_VERSION_SEQUENTIAL_TEST_HPP
#define HYSSOPDEAL_COORDINATION_VERSION_SEQUENTIAL_TEST_HPP

/// @file
/// Sequential test of a rate against a reference rate, with a false-alarm and a
/// miss probability that hold however often it is looked at.
///
/// Index: [settings] [test_verdict] [sequential_test]

#include <array>
#include <cstddef>
#include <cstdint>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Error probabilities, stated for one whole move.
struct sequential_test_settings
{
    double false_alarm = 0.002; ///< Any test calls a good version worse.
    double miss = 0.01;         ///< A version worse by `effect` passes.
    double tests = 100;         ///< Routes x loads x rates of one move.
    double windows = 40'000;    ///< Report windows of one move.
    double effect = 0.05;       ///< Smallest part of the good answers that a
                                ///< bad version spoils and that is looked for.
};

// [test_verdict] -------------------------------------------------------------

/// What a test says so far.
enum class test_verdict : std::uint8_t
{
    undecided,
    not_worse, ///< Not worse by `effect`, but for the miss probability.
    worse      ///< Worse, but for the false-alarm probability.
};

// [sequential_test] ----------------------------------------------------------

/// Cumulative sums of log likelihood ratios against several alternatives, so
/// that a small fault at once and a large fault late are both found soon. A sum
/// starts anew only between windows, which bounds the false alarms by the
/// number of windows.
class sequential_test
{
public:
    explicit sequential_test(sequential_test_settings settings = {}) noexcept;

    /// Takes in one window.
    ///
    /// @param hits Bad or slow answers.
    /// @param total All answers.
    /// @param reference Rate of the old version, tolerance included.
    void add(std::uint64_t hits, std::uint64_t total,
             double reference) noexcept;

    /// @return The verdict; once worse, it stays so.
    [[nodiscard]] test_verdict verdict() const noexcept;

private:
    static constexpr std::size_t alternative_count = 4;

    sequential_test_settings settings_;
    std::array<double, alternative_count> sums_{};
    double passing_ = 0; ///< Log likelihood ratio for `not worse`.
    bool worse_ = false;
};

} // namespace hyssopdeal::coordination

#endif
