#ifndef HYSSOPDEAL_TESTS_CLUSTER_HARNESS_HPP
#define HYSSOPDEAL_TESTS_CLUSTER_HARNESS_HPP

/// @file
/// Test fixture that runs the replicas of a cluster in one process. Each
/// replica has its own loopback address and a data folder that a test can
/// delete.
///
/// Index: [cluster_harness]

#include <cstdlib>
#include <filesystem>
#include <functional>
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
#include <hyssopdeal/coordination/gateway/native_dialect.hpp>
#include <hyssopdeal/transport/event_log.hpp>

#include "loop_helper.hpp"

namespace hyssopdeal::tests
{

// [cluster_harness] ----------------------------------------------------------

/// Decodes a test document: a version, a colon and any text. The text `scaled`
/// adds a service for which servers may be ordered, the text `prompts` two
/// routes to it: for streams that cannot be resumed and for requests that must
/// not run twice.
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
    if (bytes.ends_with(":prompts"))
    {
        protocol::document_route route;
        route.name = "stream";
        route.host = "h";
        route.path_prefix = "/stream/";
        route.rule = protocol::repeat_rule::stream;
        route.time_limit = std::chrono::seconds{10};
        route.target_latency = std::chrono::seconds{1};
        route.needs_key = false;
        route.shares = {{"s", 1}};
        document.routes = {route};
        route.name = "once";
        route.path_prefix = "/once/";
        route.rule = protocol::repeat_rule::once;
        document.routes.push_back(route);
        document.services = {
            {"s", 0, protocol::engine_terms{8, 100'000, true}, {}}};
    }
    return document;
}

/// @return The id of the attempt in a request's head.
inline std::string attempt_in(const std::string& head)
{
    const std::string name = "Hyssopdeal-Attempt: ";
    const auto id = head.find(name) + name.size();
    return head.substr(id, head.find('\r', id) - id);
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
    using document_decoder =
        std::function<transport::result<protocol::service_document>(
            const std::string&)>;

    /// @param count Number of replicas; the first three at most are the seeds.
    /// @param decoder Decodes put documents.
    explicit cluster_harness(std::size_t count,
                             document_decoder decoder = read_test_document)
        : decode_document(std::move(decoder)),
          folder_(std::filesystem::temp_directory_path() /
                  fmt::format("hyssopdeal-cluster-{}-{}", ::getpid(),
                              next_number()))
    {
        if (std::getenv("HYSSOPDEAL_TEST_LOG") != nullptr)
        {
            transport::start_event_log({"test"});
        }
        for (std::size_t index = 0; index < count; ++index)
        {
            if (seeds_.size() < 3)
            {
                seeds_.push_back(hub_address(index));
            }
        }
        for (std::size_t index = 0; index < count; ++index)
        {
            start(index, coordination::cluster_start::first);
        }
    }

    ~cluster_harness()
    {
        replicas.clear();
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] static std::string ip(std::size_t index)
    {
        return fmt::format("127.{}.{}.{}", 10 + ::getpid() % 200,
                           1 + (::getpid() / 200) % 250, index + 1);
    }

    [[nodiscard]] static std::string hub_address(std::size_t index)
    {
        return fmt::format("{}:{}", ip(index), hub_port);
    }

    /// @return Settings of a gateway that reports to these replicas.
    [[nodiscard]] coordination::gateway_settings
    gateway_settings(std::size_t index = 0) const
    {
        coordination::gateway_settings settings;
        settings.name = fmt::format("e{}", index);
        settings.failure_domain = "d0";
        settings.address = ip(100 + index);
        settings.hub_port = hub_port;
        settings.seeds = seeds_;
        settings.shared_key = "key";
        settings.callers_port = callers_port;
        settings.readiness_port = callers_port + 1;
        return settings;
    }

    /// @return A gateway for callers of the native dialect, not started yet.
    [[nodiscard]] std::unique_ptr<coordination::gateway_process>
    make_gateway(const coordination::gateway_settings& settings)
    {
        return std::make_unique<coordination::gateway_process>(
            loop, clock, settings, read_test_document,
            coordination::make_request_handler<coordination::native_dialect>());
    }

    void start(std::size_t index, coordination::cluster_start how)
    {
        coordination::cluster_settings settings;
        settings.name = fmt::format("c{}", index);
        settings.failure_domain = fmt::format("d{}", index);
        settings.address = ip(index);
        settings.hub_port = hub_port;
        settings.operators = fmt::format("{}:1", ip(index));
        settings.seeds = seeds_;
        settings.start = how;
        settings.data_folder = folder(index);
        settings.shared_key = "key";
        settings.voters.unreachable_after = std::chrono::milliseconds{1'500};
        settings.order_lease = order_lease;
        coordination::platform_callbacks platform;
        platform.read_list = [this, index](auto on_done) {
            ++list_reads[index];
            if (cut_off_from_platform.contains(index))
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
        platform.read_document = [this](const std::string& bytes) {
            return decode_document(bytes);
        };
        auto made = std::make_unique<coordination::cluster_process>(
            loop, clock, settings, std::move(platform));
        start_results.push_back(made->start());
        replicas[index] = std::move(made);
    }

    void stop(std::size_t index)
    {
        replicas.erase(index);
    }

    void wipe(std::size_t index) const
    {
        std::filesystem::remove_all(folder(index));
    }

    /// @return Bytes of all files in a replica's data folder.
    [[nodiscard]] std::uintmax_t stored_bytes(std::size_t index) const
    {
        std::uintmax_t bytes = 0;
        for (const auto& file :
             std::filesystem::directory_iterator{folder(index)})
        {
            bytes += file.file_size();
        }
        return bytes;
    }

    /// Puts a document once, without a retry.
    transport::result<void> put_once(std::size_t index,
                                     const std::string& bytes)
    {
        bool ended = false;
        transport::result<void> done;
        replicas.at(index)->put_document(bytes, [&](auto how) {
            done = std::move(how);
            ended = true;
        });
        if (!run_until(loop, [&] { return ended; }))
        {
            throw std::runtime_error{
                "put_document() was not answered in time."};
        }
        return done;
    }

    /// Puts a document and repeats this until it is accepted.
    bool put(std::size_t index, const std::string& bytes)
    {
        bool accepted = false;
        bool asked = false;
        return run_until(loop, [&] {
            if (!accepted && !std::exchange(asked, true))
            {
                replicas.at(index)->put_document(bytes, [&](const auto& done) {
                    accepted = done.has_value();
                    asked = false;
                });
            }
            return accepted;
        });
    }

    /// @return The document read at a replica, or an empty string on an error.
    std::string read(std::size_t index)
    {
        std::string bytes;
        bool ended = false;
        replicas.at(index)->read_document([&](const auto& held) {
            bytes = held ? held->bytes : std::string{};
            ended = true;
        });
        (void)run_until(loop, [&] { return ended; });
        return bytes;
    }

    bool reads(std::size_t index, const std::string& bytes)
    {
        return run_until(loop, [&] { return read(index) == bytes; });
    }

    /// @return The value of a replica's metric, or -1 if there is no such
    ///     replica, as with `no_leader`, or no such metric.
    double metric(std::size_t index, const std::string& name) const
    {
        const auto replica = replicas.find(index);
        if (replica == replicas.end())
        {
            return -1;
        }
        const auto text = replica->second->metrics();
        const auto place = text.find("\n" + name + " ");
        return place == std::string::npos
                   ? -1
                   : std::strtod(text.c_str() + place + name.size() + 2,
                                 nullptr);
    }

    [[nodiscard]] std::size_t leader() const
    {
        for (const auto& [index, replica] : replicas)
        {
            if (metric(index, "hyssopdeal_replica_leads") > 0)
            {
                return index;
            }
        }
        return no_leader;
    }

    static constexpr std::size_t no_leader = 1'000;
    static constexpr std::chrono::milliseconds order_lease{500};
    static constexpr std::uint16_t hub_port = 27'600;
    static constexpr std::uint16_t callers_port = 27'601;

    transport::event_loop loop;
    transport::system_clock clock;
    document_decoder decode_document;
    std::vector<protocol::listed_server> list;
    /// Number of reads from the platform, by replica.
    std::map<std::size_t, int> list_reads;
    /// Replicas whose list reads fail.
    std::set<std::size_t> cut_off_from_platform;
    std::vector<coordination::decide_usage_command> usage;
    /// Server orders: the fencing token and the time at which each was sent.
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

    [[nodiscard]] std::string folder(std::size_t index) const
    {
        return (folder_ / fmt::format("c{}", index)).string();
    }

    std::filesystem::path folder_;
    std::vector<std::string> seeds_;
};

} // namespace hyssopdeal::tests

#endif
