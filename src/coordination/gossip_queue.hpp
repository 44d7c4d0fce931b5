#ifndef HYSSOPDEAL_COORDINATION_GOSSIP_QUEUE_HPP
#define HYSSOPDEAL_COORDINATION_GOSSIP_QUEUE_HPP

/// @file
/// Names whose entries are still to be piggybacked, least sent first.
/// Internal.
///
/// Index: [gossip_queue]

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopdeal::coordination
{

// [gossip_queue] -------------------------------------------------------------

/// Counts how often each changed entry has been sent.
class gossip_queue
{
public:
    /// Starts to spread an entry from the beginning.
    void add(std::string_view name);

    /// Picks the entries to send next and counts them as sent.
    ///
    /// @param count At most this many.
    /// @param transmissions An entry sent this often is dropped.
    [[nodiscard]] std::vector<std::string> take(std::size_t count,
                                                std::uint32_t transmissions);

private:
    struct item
    {
        std::string name;
        std::uint32_t sent = 0;
    };

    std::vector<item> items_; // least sent first
};

} // namespace hyssopdeal::coordination

#endif
