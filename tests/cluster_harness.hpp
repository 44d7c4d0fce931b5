#ifndef HYSSOPDEAL_TESTS_CLUSTER_HARNESS_HPP
#define HYSSOPDEAL_TESTS_CLUSTER_HARNESS_HPP

/// @file
/// A cluster of replicas and an entry in one process, each on a loopback
/// address of its own, with folders that a test may wipe.
///
/// Index: [cluster_harness]

#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <hyssopdeal/coordination/cluster/cluster_process.hpp>
#include <hyssopdeal/coordination/gateway/gateway_process.hpp>
#include <hyssopdeal/coordination/gateway/own_dialect.hpp>
#include <hyssopdeal/transport/event_log.hpp>

#include "loop_helper.hpp"

namespace hyssopdeal::tests
{

// [cluster_harness] ----------------------------------------------------------

/// Documents of these tests are a version, a colon and any text; with the text
/// `scaled` servers of one service may be ordered.
inline transport::result<protocol::service_document>
read_test_document(const std::string& bytes)
{
    protocol::service_document document;
    document.version = std::strtoull(bytes.c_str(), nullptr, 10);
    if (document.version == 0)
    {
        return transport::fail(transport::reason::bad_request, "No version.");
    }
    if (bytes.ends_with(":scaled"))
    {
        protocol::scaling_terms terms;
        terms.least = 1;
        terms.most = 6;
        terms.domain_prices = {{"d0", 1.0}};
        document.services = {{"s", 0, {}, terms}};
    }
    return document;
}

/// A ready server of the service `s`.
inline protocol::listed_server listed(const std::string& id)
{
    protocol::listed_server server;
    server.id = id;
    server.service = "s";
    server.failure_domain = "d0";
    return server;
}

class cluster_harness
{
public:
    /// @param count Replicas; the first three, or fewer, are the seeds.
    explicit cluster_harness(std::size_t count)
        : folder_(std::filesystem::temp_directory_path() /
                  fmt::format("hyssopdeal-cluster-{}-{}", ::getpid(),
                              next_number()))
    {
        if (std::getenv("HYSSOPDEAL_TEST_LOG") != nullptr)
        {
            transport::start_event_log({"test"});
        }
        for (std::size_t at = 0; at < count; ++at)
        {
            if (seeds_.size() < 3)
            {
                seeds_.push_back(hub_address(at));
            }
        }
        for (std::size_t at = 0; at < count; ++at)
        {
            start(at, coordination::cluster_start::first);
        }
    }

    ~cluster_harness()
    {
        replicas.clear();
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] static std::string ip(std::size_t at)
    {
        return fmt::format("127.{}.{}.{}", 10 + ::getpid() % 200,
                           1 + (::getpid() / 200) % 250, at + 1);
    }

    [[nodiscard]] static std::string hub_address(std::size_t at)
    {
        return fmt::format("{}:{}", ip(at), hub_port);
    }

    void start(std::size_t at, coordination::cluster_start how)
    {
        coordination::cluster_settings settings;
        settings.name = fmt::format("c{}", at);
        settings.failure_domain = fmt::format("d{}", at);
        settings.address = ip(at);
        settings.hub_port = hub_port;
        settings.operators = fmt::format("{}:1", ip(at));
        settings.seeds = seeds_;
        settings.start = how;
        settings.data_folder = folder(at);
        settings.shared_key = "key";
        settings.voters.unreachable_after = std::chrono::milliseconds{1'500};
        settings.order_lease = order_lease;
        coordination::platform_callbacks platform;
        platform.read_list = [this, at](auto on_done) {
            ++list_reads[at];
            if (cut_off_from_platform.contains(at))
            {
                return on_done(transport::fail(transport::reason::timed_out,
                                               "No whole answer in time."));
            }
            on_done(list);
        };
        platform.report_usage = [this](const auto&, const auto& decision,
                                       auto on_done) {
            usage.push_back(decision);
            on_done({});
        };
        platform.order_servers = [this](const auto& fence, const auto&,
                                        auto on_done) {
            orders.push_back({fence, clock.monotonic_now()});
            on_done(coordination::order_outcome::accepted);
        };
        platform.read_document = read_test_document;
        auto made = std::make_unique<coordination::cluster_process>(
            loop, clock, settings, std::move(platform));
        start_results.push_back(made->start());
        replicas[at] = std::move(made);
    }

    void stop(std::size_t at)
    {
        replicas.erase(at);
    }

    void wipe(std::size_t at) const
    {
        std::filesystem::remove_all(folder(at));
    }

    /// Sends a document once.
    transport::result<void> put_once(std::size_t at, const std::string& bytes)
    {
        bool ended = false;
        transport::result<void> done;
        replicas.at(at)->put_document(bytes, [&](auto how) {
            done = std::move(how);
            ended = true;
        });
        if (!run_until(loop, [&] { return ended; }))
        {
            throw std::runtime_error{"A document was never answered."};
        }
        return done;
    }

    /// Sends a document until it is accepted.
    bool put(std::size_t at, const std::string& bytes)
    {
        bool accepted = false;
        bool asked = false;
        return run_until(loop, [&] {
            if (!accepted && !std::exchange(asked, true))
            {
                replicas.at(at)->put_document(bytes, [&](const auto& done) {
                    accepted = done.has_value();
                    asked = false;
                });
            }
            return accepted;
        });
    }

    /// @return The document read at a replica, or empty when it cannot say.
    std::string read(std::size_t at)
    {
        std::string bytes;
        bool ended = false;
        replicas.at(at)->read_document([&](const auto& held) {
            bytes = held ? held->bytes : std::string{};
            ended = true;
        });
        (void)run_until(loop, [&] { return ended; });
        return bytes;
    }

    bool reads(std::size_t at, const std::string& bytes)
    {
        return run_until(loop, [&] { return read(at) == bytes; });
    }

    /// @return The value of a metric of a replica.
    double metric(std::size_t at, const std::string& name) const
    {
        const auto text = replicas.at(at)->metrics();
        const auto place = text.find("\n" + name + " ");
        return place == std::string::npos
                   ? -1
                   : std::strtod(text.c_str() + place + name.size() + 2,
                                 nullptr);
    }

    [[nodiscard]] std::size_t leader() const
    {
        for (const auto& [at, replica] : replicas)
        {
            if (metric(at, "hyssopdeal_replica_leads") > 0)
            {
                return at;
            }
        }
        return no_leader;
    }

    static constexpr std::size_t no_leader = 1'000;
    static constexpr std::chrono::milliseconds order_lease{500};
    static constexpr std::uint16_t hub_port = 27'600;

    transport::event_loop loop;
    transport::system_clock clock;
    std::vector<protocol::listed_server> list;
    std::map<std::size_t, int> list_reads;       ///< By replica.
    std::set<std::size_t> cut_off_from_platform; ///< Cut off from the platform.
    std::vector<coordination::decide_usage_command> usage;
    /// Of servers, with the time when they left.
    std::vector<std::pair<coordination::order_fence, transport::monotonic_time>>
        orders;
    std::vector<transport::result<void>> start_results;
    std::map<std::size_t, std::unique_ptr<coordination::cluster_process>>
        replicas;

    [[nodiscard]] const std::vector<std::string>& seeds() const
    {
        return seeds_;
    }

private:
    static int next_number()
    {
        static int number = 0;
        return ++number;
    }

    [[nodiscard]] std::string folder(std::size_t at) const
    {
        return (folder_ / fmt::format("c{}", at)).string();
    }

    std::filesystem::path folder_;
    std::vector<std::string> seeds_;
};

} // namespace hyssopdeal::tests

#endif
