#ifndef HYSSOPDEAL_SRC_COORDINATION_GRANT_SERVICE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_GRANT_SERVICE_HPP

/// @file
/// Internal: answers entries' requests for limit grants on a control replica.
///
/// Index: [grant_service]

#include <optional>
#include <string>

#include <hyssopdeal/coordination/control_node.hpp>
#include <hyssopdeal/coordination/grant_allocator.hpp>
#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [grant_service] ------------------------------------------------------------

/// One allocator for each term that this replica leads; only the leader within
/// its lease grants, the others answer with term 0.
class grant_service
{
public:
    grant_service(const transport::clock& clock, control_node& node,
                  grant_settings settings = {});
    grant_service(const grant_service&) = delete;
    grant_service& operator=(const grant_service&) = delete;
    ~grant_service();

    /// Takes the channel `grants`.
    void start(protocol::peer_hub& hub);

private:
    [[nodiscard]] std::string answer(const std::string& payload);
    [[nodiscard]] grant_allocator& allocator_of(state::term_number term);

    const transport::clock& clock_;
    control_node& node_;
    grant_settings settings_;
    std::optional<grant_allocator> allocator_;
    state::term_number term_ = 0;
    state::log_index index_ = 0; ///< Of the contracts that are set.
};

} // namespace hyssopdeal::coordination

#endif
