#ifndef HYSSOPDEAL_REVIEW_SMALL_WORLD_HPP
#define HYSSOPDEAL_REVIEW_SMALL_WORLD_HPP

/// @file
/// A small deployment on loopback: the project's own programs as processes,
/// and stand-ins of the platform, of an operator and of servers.

#include <atomic>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "small_http.hpp"

namespace hyssopdeal::review
{

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int cannot_run = 2;

/// Lines of what was sent, answered and run, with the time since the start.
class record
{
public:
    explicit record(const std::string& path);

    void line(const std::string& text);

private:
    std::mutex lock_;
    std::ofstream file_;
    time_point start_ = std::chrono::steady_clock::now();
};

/// What the platform lists as one server.
struct listed
{
    std::string id;
    std::string service;
    std::string address;
};

/// The whole deployment; ends all of its processes with its life.
class world
{
public:
    /// @param replicas Control replicas, 3 at least.
    world(record& notes, int replicas, int entries);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    /// @return A loopback address that only this world uses.
    [[nodiscard]] std::string own_ip(int number) const;

    void list(const std::vector<listed>& servers);

    /// Starts all processes.
    ///
    /// @return Whether they could be started.
    bool start();

    /// Sends a configuration until it is acknowledged.
    bool put_config(const std::string& body);

    /// @return Whether all entries say in time that they are ready.
    bool await_ready(milliseconds time_limit);

    [[nodiscard]] bool ready(int entry) const;

    [[nodiscard]] const endpoint& entry(int number) const
    {
        return entries_.at(static_cast<std::size_t>(number)).callers;
    }

    [[nodiscard]] int entry_process(int number) const
    {
        return entries_.at(static_cast<std::size_t>(number)).process;
    }

private:
    struct program
    {
        std::string name;
        std::string ip;
        endpoint callers;   ///< Of an entry; else the operators' address.
        endpoint readiness; ///< Of an entry.
        int process = 0;
    };

    void serve_platform(connection from);
    [[nodiscard]] std::string settings_of(const program& which,
                                          bool is_entry) const;
    bool start_one(program& which, bool is_entry);

    record& notes_;
    std::string folder_;
    int block_ = 0; ///< Second number of the world's loopback addresses.
    int part_ = 0;  ///< Third.
    int link_port_ = 0;
    std::vector<program> replicas_;
    std::vector<program> entries_;
    std::mutex lock_; ///< Of the list.
    std::string list_ = R"({"instances":[],"next_token":null})";
    std::unique_ptr<listener> platform_;
};

/// @return Whether the case is to disturb: not with TROUBLE=0.
bool trouble_wanted();

/// @return One route of a configuration; anybody may call it.
std::string route_json(const std::string& name, const std::string& prefix,
                       const std::string& kind, const std::string& service);

/// What a configuration says beside its routes.
struct config_terms
{
    int version = 1;
    int max_header_bytes = 16'384;
    bool engine = false; ///< Of the service: a model server.
};

/// @return A configuration with these routes of host `h.example`.
std::string config_json(const std::string& routes, const std::string& service,
                        const config_terms& terms = {});

} // namespace hyssopdeal::review

#endif
