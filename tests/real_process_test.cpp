/// @file
/// The whole system as real processes on loopback, under a mixed load, while
/// processes are killed, stopped and continued, and a failure domain is lost at
/// once. The verdict comes from the promises: callers' answers, keys,
/// configuration. Waits end by what they wait for; their limits are backstops.

#include <csignal>
#include <filesystem>
#include <sstream>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <hyssopdeal/protocol/contract_json.hpp>
#include <hyssopdeal/transport/digest.hpp>

#include "process_group.hpp"
#include "standins/free_ports.hpp"

using namespace hyssopdeal;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t replica_count = 3;
constexpr std::size_t entry_count = 4;
constexpr std::size_t engine_count = 3;
constexpr std::size_t plain_count = 2;
constexpr std::chrono::seconds start_limit{30};
constexpr std::chrono::seconds order_limit{60};
constexpr std::chrono::seconds load_limit{150};
const std::string shared_key(32, 'k');
const std::string token = "operators-token";

std::string example(const std::string& name)
{
    return fmt::format("{}/examples/pomarada/{}", HYSSOPDEAL_SOURCE_DIR, name);
}

std::string domain(std::size_t at)
{
    return fmt::format("sul-{}", static_cast<char>('a' + at));
}

// Whole answers of a class in the table of hyssop-load.
int whole_in(const std::string& table, const std::string& name)
{
    const auto row = table.find('\n' + name + ' ');
    int calls = 0;
    int whole = 0;
    if (row != std::string::npos)
    {
        std::istringstream(table.substr(row + name.size() + 1)) >> calls >>
            whole;
    }
    return whole;
}

// The system's processes and what they were told.
class system_under_test
{
public:
    system_under_test()
        : ports_(*standins::free_ports(3 * replica_count + 3 * entry_count))
    {
        group.write("shared.key", shared_key);
        group.write("operator.token", token);
        write_contacts();
        write_ctl_settings();
    }

    void start_all()
    {
        for (std::size_t at = 0; at < replica_count; ++at)
        {
            write_replica(at);
            CHECK_EQUAL(0,
                        group.run(fmt::format("init-{}", at), "hyssop-controld",
                                  {"--settings", replica_file(at), "--init"},
                                  start_limit));
            start_replica(at);
        }
        for (std::size_t at = 0; at < engine_count; ++at)
        {
            start_standin(fmt::format("engine-{}", at + 1), "standin-engine");
        }
        for (std::size_t at = 0; at < plain_count; ++at)
        {
            start_standin(fmt::format("plain-{}", at + 1),
                          "standin-plain-service");
        }
        for (std::size_t at = 0; at < entry_count; ++at)
        {
            write_entry(at);
            start_entry(at);
        }
    }

    void start_replica(std::size_t at)
    {
        group.start(replica(at), "hyssop-controld",
                    {"--settings", replica_file(at)});
    }

    void start_entry(std::size_t at)
    {
        group.start(entry(at), "hyssop-entryd",
                    {"--settings", group.path(entry(at) + ".json")});
    }

    int ctl(const std::string& name, std::vector<std::string> words)
    {
        words.insert(words.begin(), {"--settings", group.path("hyssopctl.json"),
                                     "--time-limit", "30"});
        return group.run(name, "hyssopctl", words, order_limit);
    }

    // Applies the examples with the servers that run here.
    void declare()
    {
        write_service("sidra-llm", "engine", engine_count);
        write_service("inscricoes", "plain", plain_count);
        std::vector<std::string> words{"contract", "apply"};
        for (const auto& file :
             std::filesystem::directory_iterator(example("contracts")))
        {
            words.push_back(file.path().string());
        }
        CHECK_EQUAL(0, ctl("apply-contracts", words));
        CHECK_EQUAL(0, ctl("apply-services",
                           {"service", "apply", group.path("sidra-llm.json"),
                            group.path("inscricoes.json")}));
        apply_rate(400);
    }

    // Waits for a process that was killed. One that had ended before has its
    // reason in its log, so all logs are kept.
    void expect_killed(const std::string& name)
    {
        const int code = group.wait(name, start_limit);
        if (code != 128 + SIGKILL)
        {
            group.keep_folder();
            FAIL(fmt::format("{} ended with {}\nfiles: {}", name, code,
                             group.path(""))
                     .c_str());
        }
    }

    // Writes a contract and waits until it is in force everywhere. If that
    // fails, all logs are kept.
    void apply_rate(int rate)
    {
        auto contract = *protocol::read_contract(
            *protocol::read_text_file(example("contracts/festival-sul.json")),
            "festival-sul");
        contract.requests_per_second = rate;
        contract.request_burst = rate;
        group.write("festival-sul.json", protocol::write_contract(contract));
        const auto name = fmt::format("apply-{}", rate);
        const int code = ctl(name, {"--wait=40", "contract", "apply",
                                    group.path("festival-sul.json")});
        if (code != 0)
        {
            group.keep_folder();
            FAIL(fmt::format("exit {}: {}\nfiles: {}", code, group.output(name),
                             group.path(""))
                     .c_str());
        }
    }

    void start_load(const std::string& seconds)
    {
        std::vector<std::string> words{
            "--scenario", example("scenarios/entry-week.json"),
            "--rate",     "25",
            "--duration", seconds,
            "--csv",      group.path("load.csv")};
        for (std::size_t at = 0; at < entry_count; ++at)
        {
            words.insert(words.end(),
                         {"--entry", fmt::format("127.0.0.1:{}", port(at))});
        }
        for (std::size_t at = 0; at < plain_count; ++at)
        {
            words.insert(words.end(),
                         {"--plain", address(fmt::format("plain-{}", at + 1))});
        }
        group.start("load", "hyssop-load", words);
    }

    [[nodiscard]] std::string entry(std::size_t at) const
    {
        return fmt::format("entry-{}", at + 1);
    }

    [[nodiscard]] std::string replica(std::size_t at) const
    {
        return fmt::format("control-{}", at + 1);
    }

    tests::process_group group;

private:
    [[nodiscard]] std::uint16_t port(std::size_t entry_at) const
    {
        return ports_[3 * replica_count + 3 * entry_at];
    }

    [[nodiscard]] std::string replica_file(std::size_t at) const
    {
        return group.path(replica(at) + ".json");
    }

    // Waits until a stand-in has written its port.
    [[nodiscard]] std::string address(const std::string& name) const
    {
        std::string text;
        for (int tries = 0; tries < 500 && text.empty(); ++tries)
        {
            text = group.read(name + ".port");
            std::this_thread::sleep_for(20ms);
        }
        return fmt::format("127.0.0.1:{}", text.substr(0, text.find('\n')));
    }

    void start_standin(const std::string& name, const std::string& program)
    {
        group.start(name, program, {"--port-file", group.path(name + ".port")});
    }

    void write_contacts()
    {
        std::vector<std::string> full;
        std::vector<std::string> known;
        for (std::size_t at = 0; at < replica_count; ++at)
        {
            const auto common = fmt::format(
                "\"name\":\"{}\",\"failure_domain\":\"{}\",\"address\":"
                "\"127.0.0.1:{}\",\"gossip_address\":\"127.0.0.1:{}\"",
                replica(at), domain(at), ports_[3 * at], ports_[3 * at + 1]);
            known.push_back("{" + common + "}");
            full.push_back(
                fmt::format("{{\"id\":{},{},\"operators\":\"127.0.0.1:{}\"}}",
                            at + 1, common, ports_[3 * at + 2]));
        }
        replicas_full_ = fmt::format("{}", fmt::join(full, ","));
        replicas_known_ = fmt::format("{}", fmt::join(known, ","));
    }

    void write_ctl_settings() const
    {
        std::vector<std::string> addresses;
        for (std::size_t at = 0; at < replica_count; ++at)
        {
            addresses.push_back(
                fmt::format("\"127.0.0.1:{}\"", ports_[3 * at + 2]));
        }
        group.write("hyssopctl.json",
                    fmt::format("{{\"control\":[{}],\"token_file\":\"{}\"}}",
                                fmt::join(addresses, ","),
                                group.path("operator.token")));
    }

    void write_replica(std::size_t at) const
    {
        std::filesystem::create_directory(group.path(replica(at)));
        group.write(
            replica(at) + ".json",
            fmt::format(
                "{{\"id\":{},\"name\":\"{}\",\"failure_domain\":\"{}\","
                "\"data_folder\":\"{}\",\"peer_port\":{},\"gossip_port\":{},"
                "\"operators_port\":{},\"shared_key_file\":\"{}\",\"tokens\":"
                "[{{\"sha256\":\"{}\",\"role\":\"write\"}}],\"replicas\":[{}]}"
                "}",
                at + 1, replica(at), domain(at), group.path(replica(at)),
                ports_[3 * at], ports_[3 * at + 1], ports_[3 * at + 2],
                group.path("shared.key"), transport::sha256_hex(token),
                replicas_full_));
    }

    void write_entry(std::size_t at) const
    {
        const auto first = 3 * replica_count + 3 * at;
        group.write(
            entry(at) + ".json",
            fmt::format(
                "{{\"name\":\"{}\",\"failure_domain\":\"{}\",\"port\":{},"
                "\"peer_port\":{},\"gossip_port\":{},\"shared_key_file\":"
                "\"{}\",\"control_replicas\":[{}]}}",
                entry(at), domain(at), ports_[first], ports_[first + 1],
                ports_[first + 2], group.path("shared.key"), replicas_known_));
    }

    void write_service(const std::string& name, const std::string& standin,
                       std::size_t count)
    {
        const auto file = example("services/" + name + ".json");
        auto service =
            *protocol::read_service(*protocol::read_text_file(file), file);
        service.servers.resize(count);
        for (std::size_t at = 0; at < count; ++at)
        {
            service.servers[at].address =
                address(fmt::format("{}-{}", standin, at + 1));
        }
        group.write(name + ".json", protocol::write_service(service));
    }

    std::vector<std::uint16_t> ports_;
    std::string replicas_full_;
    std::string replicas_known_;
};

} // namespace

TEST_GROUP(real_processes){};

TEST(real_processes, promises_hold_through_kills_stops_and_a_lost_domain)
{
    system_under_test system;
    auto& group = system.group;
    system.start_all();
    system.declare();
    system.start_load("30");
    const auto pause = [] { std::this_thread::sleep_for(3s); };
    pause();
    // An engine dies with its streams, an entry stops for long and goes on.
    group.signal("engine-1", SIGKILL);
    group.signal(system.entry(1), SIGSTOP);
    pause();
    group.signal(system.entry(1), SIGCONT);
    // A replica dies while a contract is written, and starts again.
    group.signal(system.replica(0), SIGKILL);
    system.expect_killed(system.replica(0));
    system.apply_rate(350);
    system.start_replica(0);
    pause();
    // A planned stop.
    group.signal(system.entry(0), SIGTERM);
    CHECK_EQUAL(0, group.wait(system.entry(0), order_limit));
    system.start_entry(0);
    pause();
    // All of one failure domain at once: entry, replica and engine.
    group.signal(system.entry(2), SIGKILL);
    group.signal(system.replica(2), SIGKILL);
    group.signal("engine-3", SIGKILL);
    const int load = group.wait("load", load_limit);
    system.expect_killed(system.entry(2));
    system.expect_killed(system.replica(2));
    system.start_replica(2);
    system.start_entry(2);
    system.apply_rate(300);
    CHECK_EQUAL(0, system.ctl("get", {"contract", "get", "festival-sul"}));
    STRCMP_CONTAINS("\"requests_per_second\": 300.0",
                    group.output("get").c_str());
    // Not a run in which everything was refused.
    const auto table = group.output("load");
    fmt::print("\n{}", table);
    CHECK_TEXT(whole_in(table, "critique") > 0, table.c_str());
    CHECK_TEXT(whole_in(table, "status") > 0, table.c_str());
    if (load != 0)
    {
        group.keep_folder();
        FAIL(fmt::format("{}\nfiles: {}", group.output("load"), group.path(""))
                 .c_str());
    }
}
