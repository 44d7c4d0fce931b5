/// @file
/// Checks that each layer includes only itself and those below it.

#include <array>
#include <filesystem>
#include <fstream>
#include <string>

#include <CppUTest/TestHarness.h>

namespace
{

constexpr std::array<const char*, 4> layers = {"transport", "protocol", "state",
                                               "coordination"};

std::string upward_include(const std::filesystem::path& file,
                           std::size_t own_layer)
{
    std::ifstream stream{file};
    std::string line;
    while (std::getline(stream, line))
    {
        for (std::size_t above = own_layer + 1; above < layers.size(); ++above)
        {
            const auto include =
                std::string{"#include <hyssopdeal/"} + layers.at(above) + "/";
            if (line.starts_with(include))
            {
                return file.string() + ": " + line;
            }
        }
    }
    return {};
}

std::size_t count_calls(const std::filesystem::path& file,
                        const std::string& call)
{
    std::ifstream stream{file};
    std::string line;
    std::size_t count = 0;
    while (std::getline(stream, line))
    {
        count += line.find(call) != std::string::npos ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_GROUP(layer_tests){};

// Regression: dump() threw for an error text that quoted invalid UTF-8, which
// ended every replica that got the request.
TEST(layer_tests, servers_serialize_json_by_a_function_that_cannot_throw)
{
    const std::filesystem::path root{HYSSOPDEAL_SOURCE_DIR};
    for (const char* folder : {"include", "src", "platform"})
    {
        for (const auto& item :
             std::filesystem::recursive_directory_iterator{root / folder})
        {
            const bool wraps_it = item.path().stem() == "json_text";
            if (item.is_regular_file() && !wraps_it)
            {
                LONGS_EQUAL_TEXT(0, count_calls(item.path(), "dump("),
                                 item.path().c_str());
            }
        }
    }
}

TEST(layer_tests, no_layer_includes_one_above_it)
{
    const std::filesystem::path root{HYSSOPDEAL_SOURCE_DIR};
    for (std::size_t layer = 0; layer < layers.size(); ++layer)
    {
        for (const char* folder : {"include/hyssopdeal", "src"})
        {
            const auto start = root / folder / layers.at(layer);
            if (!std::filesystem::is_directory(start))
            {
                continue;
            }
            for (const auto& item :
                 std::filesystem::recursive_directory_iterator{start})
            {
                if (item.is_regular_file())
                {
                    STRCMP_EQUAL("",
                                 upward_include(item.path(), layer).c_str());
                }
            }
        }
    }
}
