#ifndef HYSSOPDEAL_REVIEW_SUPPORT_WORLD_HPP
#define HYSSOPDEAL_REVIEW_SUPPORT_WORLD_HPP

/// @file
/// What the scripts of the review share: processes of the project on loopback
/// addresses, small stand-ins for the platform, servers and clients, and the
/// record of what was sent, answered and run.
///
/// Index: [record] [http] [listener] [world] [case]

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review
{

using std::chrono::milliseconds;
using steady_time = std::chrono::steady_clock::time_point;

// [record] -------------------------------------------------------------------

/// Lines with the time since the start; used by several threads.
class record
{
public:
    explicit record(const std::string& path);

    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
    steady_time start_ = std::chrono::steady_clock::now();
};

// [http] ---------------------------------------------------------------------

struct http_header
{
    std::string name;
    std::string value;
};

struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;
};

struct http_response
{
    int status = 0; ///< 0: no answer.
    std::vector<http_header> headers;
    std::string body;
    bool complete = false; ///< By its length, its last chunk or its close.
};

/// @return The first value; empty: none.
std::string header(const std::vector<http_header>& headers,
                   std::string_view name);

/// One TCP connection; closed at the end.
class connection
{
public:
    explicit connection(int descriptor);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// @return False once the other side has gone or does not read.
    bool write(std::string_view bytes);
    std::optional<http_request> read_request();
    http_response read_response();
    void close();
    /// Closes so that the other side gets a reset.
    void reset();
    /// The same, while another thread reads or writes.
    void reset_from_outside();

private:
    bool read_more();
    std::optional<std::string> read_head();

    int descriptor_;
    std::string in_;
};

/// @return A connection; null when there is none in time.
std::unique_ptr<connection> connect_to(const std::string& ip,
                                       std::uint16_t port, milliseconds limit);

/// Sends one request on a connection of its own.
http_response call(const std::string& ip, std::uint16_t port,
                   const http_request& request, milliseconds limit);

std::string response_bytes(int status, const std::vector<http_header>& headers,
                           std::string_view body);

// [listener] -----------------------------------------------------------------

/// Accepts connections, each on a thread of its own, until it is closed. A port
/// without a listener resets what comes.
class listener
{
public:
    listener(std::string ip, std::uint16_t port,
             std::function<void(connection&)> handler);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    void open();
    void close();

    /// From now on new connections hang, as behind a partition.
    void cut();
    void heal();

private:
    std::string ip_;
    std::uint16_t port_;
    std::function<void(connection&)> handler_;
    std::mutex mutex_;
    int descriptor_ = -1;
};

/// The same until the process ends.
void serve(const std::string& ip, std::uint16_t port,
           std::function<void(connection&)> handler);

// [world] --------------------------------------------------------------------

enum class role : std::uint8_t
{
    replica,
    entry
};

/// Processes with the platform's settings, and the platform's API.
class world
{
public:
    /// @param root The repository.
    world(std::string root, record& log, std::size_t replicas,
          std::size_t entries);
    world(const world&) = delete;
    world& operator=(const world&) = delete;
    ~world();

    /// Ends all processes and removes the temporary folder.
    void stop();

    /// Starts the platform's API and all processes for the first time.
    void start();
    void start_process(role kind, std::size_t number, bool bootstrap);
    void signal(role kind, std::size_t number, int what);

    /// Looks for processes that have ended by themselves, and starts them again
    /// half a second later, as the platform does.
    void watch();

    /// @return How often the process has ended by itself.
    [[nodiscard]] std::size_t ends(role kind, std::size_t number) const;

    [[nodiscard]] std::string ip(std::size_t number) const;
    [[nodiscard]] std::string ip(role kind, std::size_t number) const;

    /// Sends an order to one replica after the other until one answers with 200
    /// or 4xx other than 408 and 429, or until the time is over.
    http_response order(const http_request& request, milliseconds limit);

    /// Answers GET /instances from now on: one JSON object for each server.
    void list_servers(std::vector<std::string> servers);

    std::uint16_t control_port = 0;
    std::uint16_t front_port = 0;
    std::uint16_t server_port = 0;
    const std::size_t replicas;
    const std::size_t entries;

private:
    struct process
    {
        pid_t pid = 0;
        std::size_t own_ends = 0;
        bool ending = false; ///< By a signal of the test.
        std::optional<steady_time> start_at;
    };

    [[nodiscard]] std::string settings(role kind, std::size_t number,
                                       bool bootstrap) const;
    [[nodiscard]] static std::string name(role kind, std::size_t number);
    void choose_addresses();
    void answer_platform(connection& peer);

    std::string root_;
    record& log_;
    std::string folder_;
    std::string block_; ///< First three numbers of the addresses.
    std::uint16_t readiness_port_ = 0;
    std::uint16_t platform_port_ = 0;
    std::uint16_t internal_port_ = 0;
    std::map<std::string, process> processes_;
    std::mutex list_mutex_;
    std::vector<std::string> servers_;
};

// [case] ---------------------------------------------------------------------

/// Exit codes of a script.
inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int cannot_run = 2;

/// @return Whether the case runs with its disruption.
bool with_trouble();

/// Runs a case with the arguments ROOT and RECORD, for 110 s at most.
///
/// @param play Returns the exit code.
int run_case(int argc, char** argv, std::size_t replicas, std::size_t entries,
             const std::function<int(world&, record&)>& play);

} // namespace review

#endif
