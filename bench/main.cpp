/// @file
/// `hyssop_bench NAME...`: runs benchmarks by name.

#include "bench.hpp"

#include <cstdio>
#include <cstdlib>
#include <string>

#include <getopt.h>

namespace hyssopdeal::bench
{

namespace
{

struct entry
{
    std::string name;
    std::string summary;
    bench_registration::function run;
};

std::vector<entry>& registry()
{
    static std::vector<entry> entries;
    return entries;
}

int print_help()
{
    fmt::print("Usage: hyssop_bench [--seed N] [--quick] NAME [ARGS]\n\n");
    for (const auto& item : registry())
    {
        fmt::print("  {:<16} {}\n", item.name, item.summary);
    }
    return EXIT_SUCCESS;
}

int run_named(const std::string& name, const bench_arguments& arguments)
{
    for (const auto& item : registry())
    {
        if (item.name == name)
        {
            return item.run(arguments);
        }
    }
    fmt::print(stderr, "hyssop_bench: no benchmark is named '{}'\n", name);
    return EXIT_FAILURE;
}

} // namespace

bench_registration::bench_registration(std::string_view name,
                                       std::string_view summary, function run)
{
    registry().push_back({std::string{name}, std::string{summary}, run});
}

} // namespace hyssopdeal::bench

int main(int argc, char** argv)
{
    using namespace hyssopdeal::bench;
    const option options[] = {{"seed", required_argument, nullptr, 's'},
                              {"quick", no_argument, nullptr, 'q'},
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    bench_arguments arguments;
    int code = 0;
    while ((code = getopt_long(argc, argv, "+s:qh", options, nullptr)) != -1)
    {
        switch (code)
        {
        case 's':
            arguments.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'q':
            arguments.quick = true;
            break;
        case 'h':
            return print_help();
        default:
            return EXIT_FAILURE;
        }
    }
    if (optind >= argc)
    {
        return print_help();
    }
    const std::string name = argv[optind];
    arguments.rest.assign(argv + optind + 1, argv + argc);
    return run_named(name, arguments);
}
