/// @file
/// Checks that no name of the platform stands outside of platform/ and deploy/,
/// and prints the size of platform/.

#include <array>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <string>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

namespace
{

namespace fs = std::filesystem;

constexpr std::array<const char*, 23> platform_names = {
    "X-Attempt-Id",       "X-Server-Seal",   "X-Not-Executed",
    "X-Deadline-Ms",      "X-Tenant",        "X-Expected-Instance",
    "X-Token-Counts",     "X-Prompt-Prefix", "X-Duty-Holder",
    "X-Fencing-Token",    "traffic_split",   "route_kind",
    "target_latency_ms",  "auth_exempt",     "stream_resume",
    "api_keys",           "plain_tokens",    "burst_size",
    "window_id",          "desired_count",   "node_name",
    "kv_capacity_tokens", "fleetbench"};

/// @return Whether a line holds a name as a whole word.
bool holds(const std::string& line, const std::string& name)
{
    const auto part = [](char at) {
        return std::isalnum(static_cast<unsigned char>(at)) != 0 || at == '_';
    };
    for (auto at = line.find(name); at != std::string::npos;
         at = line.find(name, at + 1))
    {
        const auto end = at + name.size();
        if ((at == 0 || !part(line[at - 1])) &&
            (end == line.size() || !part(line[end])))
        {
            return true;
        }
    }
    return false;
}

std::string first_name_in(const fs::path& file)
{
    std::ifstream stream{file};
    std::string line;
    while (std::getline(stream, line))
    {
        for (const std::string name : platform_names)
        {
            if (holds(line, name))
            {
                return file.string() + ": " + line;
            }
        }
    }
    return {};
}

} // namespace

TEST_GROUP(platform_boundary_tests){};

TEST(platform_boundary_tests, no_platform_name_stands_outside_its_folder)
{
    const fs::path root{HYSSOPDEAL_SOURCE_DIR};
    for (const char* folder : {"include", "src", "programs", "standins"})
    {
        for (const auto& item : fs::recursive_directory_iterator{root / folder})
        {
            if (item.is_regular_file())
            {
                STRCMP_EQUAL("", first_name_in(item.path()).c_str());
            }
        }
    }
}

TEST(platform_boundary_tests, platform_folder_is_small)
{
    // A tenth of the product's hand-written code would no longer be a
    // translation.
    constexpr std::size_t most_lines = 2'500;
    std::size_t lines = 0;
    const fs::path root{HYSSOPDEAL_SOURCE_DIR};
    for (const auto& item : fs::directory_iterator{root / "platform"})
    {
        std::ifstream stream{item.path()};
        std::string line;
        while (std::getline(stream, line))
        {
            ++lines;
        }
    }
    fmt::print("\nplatform/: {} lines\n", lines);
    CHECK(lines > 0);
    CHECK(lines < most_lines);
}
