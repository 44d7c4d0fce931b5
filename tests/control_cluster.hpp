#ifndef HYSSOPDEAL_TESTS_CONTROL_CLUSTER_HPP
#define HYSSOPDEAL_TESTS_CONTROL_CLUSTER_HPP

/// @file
/// Control processes on loopback, each on a thread of its own, with folders
/// that outlive them.
///
/// Index: [free_ports] [control_cluster]

#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <hyssopdeal/coordination/control_process.hpp>
#include <hyssopdeal/transport/digest.hpp>

namespace hyssopdeal::tests
{

// [free_ports] ---------------------------------------------------------------

/// @return Ports that the kernel has picked, all different.
inline std::vector<std::uint16_t> free_ports(int kind, std::size_t count)
{
    std::vector<int> sockets;
    std::vector<std::uint16_t> ports;
    for (std::size_t at = 0; at < count; ++at)
    {
        const int number = ::socket(AF_INET, kind, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* raw = reinterpret_cast<sockaddr*>(&address);
        (void)::bind(number, raw, size);
        (void)::getsockname(number, raw, &size);
        sockets.push_back(number);
        ports.push_back(ntohs(address.sin_port));
    }
    for (const int number : sockets)
    {
        ::close(number);
    }
    return ports;
}

// [control_cluster] ----------------------------------------------------------

/// A new cluster in a folder of its own, removed at the end.
class control_cluster
{
public:
    explicit control_cluster(std::size_t count)
        : folder_(std::filesystem::temp_directory_path() /
                  fmt::format("hyssopdeal-control-{}", ::getpid()))
    {
        prepare(count);
    }

    /// Starts all. Another process may have taken a port since it was picked:
    /// then all begin again, with other ports.
    ///
    /// @return Why they could not start; empty when they run.
    std::string start_all()
    {
        std::string error;
        const auto count = members_.size();
        for (int round = 0; round < 10; ++round)
        {
            error.clear();
            for (std::size_t at = 0; at < count && error.empty(); ++at)
            {
                error = start(at);
            }
            if (error.empty())
            {
                return error;
            }
            for (std::size_t at = 0; at < count; ++at)
            {
                stop(at);
            }
            members_.clear();
            prepare(count);
        }
        return error;
    }

private:
    void prepare(std::size_t count)
    {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        const auto key = (folder_ / "key").string();
        std::ofstream(key) << "0123456789abcdef0123456789abcdef\n";
        std::filesystem::permissions(key,
                                     std::filesystem::perms::owner_read |
                                         std::filesystem::perms::owner_write);
        const auto tcp = free_ports(SOCK_STREAM, 2 * count);
        const auto udp = free_ports(SOCK_DGRAM, count);
        std::vector<coordination::replica_address> replicas;
        for (std::size_t at = 0; at < count; ++at)
        {
            replicas.push_back({at + 1, fmt::format("control-{}", at + 1),
                                fmt::format("domain-{}", at + 1),
                                fmt::format("127.0.0.1:{}", tcp[2 * at]),
                                fmt::format("127.0.0.1:{}", tcp[2 * at + 1]),
                                fmt::format("127.0.0.1:{}", udp[at])});
        }
        for (std::size_t at = 0; at < count; ++at)
        {
            members_.push_back(std::make_unique<member>());
            auto& settings = members_.back()->settings;
            settings.id = at + 1;
            settings.name = replicas[at].name;
            settings.failure_domain = replicas[at].failure_domain;
            settings.data_folder = (folder_ / settings.name).string();
            settings.peer_port = tcp[2 * at];
            settings.operators_port = tcp[2 * at + 1];
            settings.gossip_port = udp[at];
            settings.shared_key_file = key;
            settings.tokens = {{transport::sha256_hex("token"),
                                coordination::operator_role::write}};
            settings.replicas = replicas;
            (void)coordination::prepare_folder(
                settings, coordination::folder_start::new_cluster);
        }
    }

public:
    control_cluster(const control_cluster&) = delete;
    control_cluster& operator=(const control_cluster&) = delete;

    ~control_cluster()
    {
        for (std::size_t at = 0; at < members_.size(); ++at)
        {
            stop(at);
        }
        std::filesystem::remove_all(folder_);
    }

    /// @return Why it could not start; empty when it runs.
    std::string start(std::size_t at)
    {
        auto& one = *members_[at];
        one.loop = std::make_unique<transport::event_loop>();
        std::promise<std::string> started;
        auto result = started.get_future();
        one.thread = std::thread{[this, &one, &started] {
            one.process = std::make_unique<coordination::control_process>(
                *one.loop, clock_, one.settings);
            const auto ports = one.process->start();
            started.set_value(ports ? "" : ports.error().text);
            if (ports)
            {
                one.loop->run();
            }
            one.process.reset();
        }};
        return result.get();
    }

    /// Ends a process without a graceful shutdown.
    void stop(std::size_t at)
    {
        auto& one = *members_[at];
        if (one.thread.joinable())
        {
            one.loop->stop();
            one.thread.join();
            one.loop.reset();
        }
    }

    /// Runs something on a process's thread and waits for it.
    void on(std::size_t at,
            std::function<void(coordination::control_process&)> run)
    {
        auto& one = *members_[at];
        if (!one.loop)
        {
            return;
        }
        std::promise<void> done;
        one.loop->post([&] {
            run(*one.process);
            done.set_value();
        });
        done.get_future().wait();
    }

    /// Waits for a leader.
    ///
    /// @return Its place, or nothing after ten seconds.
    std::optional<std::size_t> leader()
    {
        for (int round = 0; round < 500; ++round)
        {
            for (std::size_t at = 0; at < members_.size(); ++at)
            {
                bool leads = false;
                on(at, [&](auto& process) {
                    leads = coordination::may_order(process.node().leads(),
                                                    clock_.monotonic_now());
                });
                if (leads)
                {
                    return at;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        return std::nullopt;
    }

    /// Proposes a command and waits for its result.
    transport::result<state::command_result> propose(std::size_t at,
                                                     state::command command)
    {
        auto answered = std::make_shared<
            std::promise<transport::result<state::command_result>>>();
        auto result = answered->get_future();
        on(at, [&](auto& process) {
            process.node().propose(std::move(command), [answered](auto got) {
                answered->set_value(std::move(got));
            });
        });
        return result.get();
    }

    [[nodiscard]] coordination::control_settings& settings(std::size_t at)
    {
        return members_[at]->settings;
    }

    [[nodiscard]] const transport::system_clock& clock() const noexcept
    {
        return clock_;
    }

private:
    struct member
    {
        coordination::control_settings settings;
        std::unique_ptr<transport::event_loop> loop;
        std::unique_ptr<coordination::control_process> process;
        std::thread thread;
    };

    transport::system_clock clock_;
    std::filesystem::path folder_;
    std::vector<std::unique_ptr<member>> members_;
};

} // namespace hyssopdeal::tests

#endif
