#ifndef HYSSOPDEAL_SRC_COORDINATION_VERSION_COPIES_HPP
#define HYSSOPDEAL_SRC_COORDINATION_VERSION_COPIES_HPP

/// @file
/// Internal: sends copies of callers' requests to a version under test and
/// tells version_watch of the answers, which nobody else sees.
///
/// Index: [version_copies]

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/version_shadow.hpp>
#include <hyssopdeal/protocol/contract.hpp>

namespace hyssopdeal::coordination
{

struct accepted_request;
struct entry_shard;

// [version_copies] -----------------------------------------------------------

/// Of one shard, on its thread. Copies are charged to nobody and never retried.
class version_copies
{
public:
    explicit version_copies(entry_shard& shard);
    version_copies(const version_copies&) = delete;
    version_copies& operator=(const version_copies&) = delete;
    ~version_copies();

    /// Takes over a service's declared shares.
    void set_shares(const protocol::service& declared);

    /// Copies an admitted request, if version_shadow wants it.
    void consider(const accepted_request& request);

    /// Lets go of copies that have ended; not from a handler of one.
    void collect();

private:
    struct copy;

    void send(const accepted_request& request, std::string_view version);
    void end(std::uint64_t number);

    entry_shard& shard_;
    version_shadow shadow_;
    std::map<std::string, protocol::service, std::less<>> moving_; ///< By name.
    std::map<std::uint64_t, std::unique_ptr<copy>> copies_; ///< By number.
    std::vector<std::uint64_t> ended_;
    std::uint64_t next_ = 1;
};

} // namespace hyssopdeal::coordination

#endif
