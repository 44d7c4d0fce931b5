/// @file
/// Every example file is valid, and the keys of the scenarios are those of the
/// contracts.

#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <hyssopdeal/coordination/control_settings.hpp>
#include <hyssopdeal/coordination/entry_settings.hpp>
#include <hyssopdeal/protocol/contract_json.hpp>
#include <hyssopdeal/transport/digest.hpp>

#include "ctl/options.hpp"
#include "load/scenario.hpp"
#include "standins/engine.hpp"
#include "standins/plain_service.hpp"

using namespace hyssopdeal;

namespace
{

// The path of a file or folder among the examples.
std::string example(std::string_view name)
{
    return fmt::format("{}/examples/{}", HYSSOPDEAL_SOURCE_DIR, name);
}

std::vector<std::string> files_in(const std::string& folder)
{
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
    {
        files.push_back(entry.path().string());
    }
    return files;
}

// Fails the test with the mistakes' own words.
template <class T>
T value_of(const transport::result<T>& read)
{
    STRCMP_EQUAL("", read ? "" : read.error().text.c_str());
    return read.value();
}

template <class T>
void check_settings(const std::string& name)
{
    (void)value_of(protocol::read_settings_file<T>(example(name)));
}

} // namespace

TEST_GROUP(examples_tests){};

TEST(examples_tests, contracts_and_services_are_valid)
{
    for (const std::string user : {"pomarada", "litoral"})
    {
        const auto contracts = files_in(example(user + "/contracts"));
        LONGS_EQUAL(5, contracts.size());
        for (const auto& file : contracts)
        {
            const auto text = value_of(protocol::read_text_file(file));
            (void)value_of(protocol::read_contract(text, file));
        }
        std::size_t servers = 0;
        for (const auto& file : files_in(example(user + "/services")))
        {
            const auto text = value_of(protocol::read_text_file(file));
            servers +=
                value_of(protocol::read_service(text, file)).servers.size();
        }
        LONGS_EQUAL(9 + 4, servers);
    }
}

TEST(examples_tests, scenarios_use_keys_of_the_contracts)
{
    for (const std::string user : {"pomarada", "litoral"})
    {
        std::set<std::string> digests;
        for (const auto& file : files_in(example(user + "/contracts")))
        {
            const auto text = value_of(protocol::read_text_file(file));
            const auto contract = value_of(protocol::read_contract(text, file));
            digests.insert(contract.key_sha256.begin(),
                           contract.key_sha256.end());
        }
        for (const auto& file : files_in(example(user + "/scenarios")))
        {
            const auto plan =
                value_of(protocol::read_settings_file<load::scenario>(file));
            for (const auto& entry : plan.classes)
            {
                for (const auto& key : entry.keys)
                {
                    CHECK(digests.contains(transport::sha256_hex(key)));
                }
            }
        }
    }
}

TEST(examples_tests, settings_are_valid)
{
    check_settings<ctl::ctl_settings>("hyssopctl.json");
    check_settings<coordination::entry_settings>("entryd.json");
    check_settings<coordination::control_settings>("controld.json");
    check_settings<standins::engine_settings>("standins/engine.json");
    check_settings<standins::plain_service_settings>(
        "standins/plain-service.json");
}
