#ifndef HYSSOPDEAL_SRC_COORDINATION_GRANT_SERVICE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_GRANT_SERVICE_HPP

/// @file
/// Internal: handles grant requests of entries on a control replica.
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

/// Creates an allocator for each term that this replica leads. Only a leader
/// with a valid lease issues grants; other replicas answer with term 0.
class grant_service
{
public:
    grant_service(const transport::clock& clock, control_node& node,
                  grant_settings settings = {});
    grant_service(const grant_service&) = delete;
    grant_service& operator=(const grant_service&) = delete;
    ~grant_service();

    /// Registers the handler of the channel `grants`.
    void start(protocol::peer_hub& hub);

private:
    [[nodiscard]] std::string handle_request(const std::string& payload);
    [[nodiscard]] grant_allocator& allocator_for(state::term_number term);

    const transport::clock& clock_;
    control_node& node_;
    grant_settings settings_;
    std::optional<grant_allocator> allocator_;
    state::term_number term_ = 0;
    /// Applied index at which the allocator's contracts were read.
    state::log_index contracts_index_ = 0;
};

} // namespace hyssopdeal::coordination

#endif
