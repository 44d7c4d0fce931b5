#ifndef HYSSOPDEAL_TESTS_CALLER_CROWD_HPP
#define HYSSOPDEAL_TESTS_CALLER_CROWD_HPP

/// @file
/// Clients on plain sockets for tests of real processes, and what such a test
/// measures of a process.
///
/// Index: [clients] [process]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hyssopdeal::tests
{

// [clients] ------------------------------------------------------------------

/// Ends what a test waits for when the process under test hangs.
inline constexpr std::chrono::seconds crowd_time_limit{30};

struct target
{
    std::string address;
    std::uint16_t port = 0;
};

/// Binds a socket to an address of this machine.
void bind_to(int file, const target& at);

/// @param receive_buffer Bytes that the kernel keeps unread; 0: its default.
/// @return A connected socket; -1 when the connection was refused.
[[nodiscard]] int connect_to(const target& to, int receive_buffer = 0);

/// What each client sends: a head, a unit so many times, and no end.
struct script
{
    std::string name;
    std::size_t clients = 0;
    std::string head;
    std::string unit;
    std::size_t repeats = 0;
    std::size_t piece = 1'048'576; ///< Most bytes in one write.
    bool reads = true;
    bool returns = false; ///< Connects again when it is closed.
};

/// Clients that send their script and then keep their connections open.
class crowd
{
public:
    crowd(const target& to, const script& plan);
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    ~crowd();

    /// Sends until nobody gets on any more; clients that return do so for a
    /// while.
    void run();

private:
    struct client
    {
        int file;
        std::size_t sent;
    };

    bool step(client& one);
    void return_if_closed(client& one);

    target to_;
    script plan_;
    std::string bytes_;
    std::vector<client> clients_;
};

/// Sends one request on a connection of its own.
///
/// @return The first bytes of its answer; empty when none came.
[[nodiscard]] std::string answer_to(const target& to, const std::string& path);

// [process] ------------------------------------------------------------------

/// @return A loopback address that other test processes do not use.
[[nodiscard]] std::string own_address(int second_number = 93);

[[nodiscard]] std::size_t peak_memory_mb(int id);

[[nodiscard]] std::size_t descriptors_of(int id);

/// The sanitizers keep freed memory back and add to what is in use, so the
/// resident set of their builds says nothing of the product's.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr bool memory_is_measured = false;
#else
inline constexpr bool memory_is_measured = true;
#endif

} // namespace hyssopdeal::tests

#endif
