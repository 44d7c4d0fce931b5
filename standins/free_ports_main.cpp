/// @file
/// The program standin-free-ports: prints free ports, one a line, for scripts.

#include <charconv>
#include <cstdio>
#include <string_view>

#include <fmt/format.h>

#include "free_ports.hpp"

int main(int argc, char** argv)
{
    constexpr int failed = 1;
    constexpr int bad_usage = 2;
    const std::string_view text = argc == 2 ? argv[1] : "";
    std::size_t count = 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    if (count == 0)
    {
        fmt::print(stderr, "usage: {} COUNT\n", argv[0]);
        return bad_usage;
    }
    const auto ports = hyssopdeal::standins::free_ports(count);
    if (!ports)
    {
        fmt::print(stderr, "{}\n", ports.error().text);
        return failed;
    }
    fmt::print("{}\n", fmt::join(*ports, "\n"));
    return 0;
}
