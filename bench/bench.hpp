#ifndef HYSSOPDEAL_BENCH_BENCH_HPP
#define HYSSOPDEAL_BENCH_BENCH_HPP

/// @file
/// Registry of the benchmarks that `hyssop_bench NAME` runs.
///
/// Index: [bench_arguments] [bench_registration] [printing]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

namespace hyssopdeal::bench
{

// [bench_arguments] ----------------------------------------------------------

/// What the command line asks of a benchmark.
struct bench_arguments
{
    std::uint64_t seed = 1;        ///< For every random choice.
    bool quick = false;            ///< A short run, as in CI.
    std::vector<std::string> rest; ///< The benchmark's own arguments.
};

// [bench_registration] -------------------------------------------------------

/// Makes a benchmark known; define one at namespace scope in a file of bench/.
struct bench_registration
{
    using function = int (*)(const bench_arguments&);

    bench_registration(std::string_view name, std::string_view summary,
                       function run);
};

// [printing] -----------------------------------------------------------------

/// Prints one result line: `NAME key=value key=value`.
template <class... Args>
void print_line(std::string_view name, fmt::format_string<Args...> fields,
                Args&&... args)
{
    fmt::print("{} {}\n", name,
               fmt::format(fields, std::forward<Args>(args)...));
}

} // namespace hyssopdeal::bench

#endif
