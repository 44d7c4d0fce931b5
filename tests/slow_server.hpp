#ifndef HYSSOPDEAL_TESTS_SLOW_SERVER_HPP
#define HYSSOPDEAL_TESTS_SLOW_SERVER_HPP

/// @file
/// A backend server that reads slowly and a plain client, both on sockets of
/// their own threads, for tests of real processes.
///
/// Index: [client] [slow_server]

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "caller_crowd.hpp"

namespace hyssopdeal::tests
{

// [client] -------------------------------------------------------------------

inline constexpr std::size_t small_buffer = 65'536;

/// @return Whether the condition held before crowd_time_limit had passed.
[[nodiscard]] bool wait_for(const std::function<bool()>& done);

/// Writes until all is sent or the other side has closed.
void send_all(int file, std::string_view bytes);

/// Reads until the other side closes, then closes the socket.
///
/// @param pause Between two reads.
[[nodiscard]] std::string read_all(int file, std::size_t most_at_once,
                                   std::chrono::milliseconds pause);

/// Sends a request on a connection of its own.
///
/// @return All that came back until the other side closed.
[[nodiscard]] std::string response_to(const target& with,
                                      const std::string& request);

// [slow_server] --------------------------------------------------------------

inline constexpr std::size_t large_response = 4'000'000;

/// Reads large bodies slowly. Its response to a target that ends in "large" is
/// large.
class slow_server
{
public:
    explicit slow_server(const target& at);
    slow_server(const slow_server&) = delete;
    slow_server& operator=(const slow_server&) = delete;
    ~slow_server();

    /// Reads nothing more of large bodies until release().
    void hold()
    {
        held_ = true;
    }

    void release()
    {
        held_ = false;
    }

    /// @return Large bodies of which the head has come.
    [[nodiscard]] std::size_t begun() const
    {
        return begun_;
    }

    /// @return Large bodies that came whole and unchanged.
    [[nodiscard]] std::size_t whole() const
    {
        return whole_;
    }

private:
    void accept();
    bool read(int file, std::string& into);
    void serve(int file);
    bool serve_one(int file, std::string& bytes);
    static void respond(int file, const std::string& head);

    int listener_ = -1;
    std::atomic<bool> ended_ = false;
    std::atomic<bool> held_ = false;
    std::atomic<std::size_t> begun_ = 0;
    std::atomic<std::size_t> whole_ = 0;
    std::thread accepting_;
    std::vector<std::thread> serving_; ///< Of accept() until its end.
};

} // namespace hyssopdeal::tests

#endif
