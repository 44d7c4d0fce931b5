#include "grant_service.hpp"

#include <utility>

#include <hyssopdeal/state/declarations.hpp>

#include "grant_wire.hpp"

namespace hyssopdeal::coordination
{

grant_service::grant_service(const transport::clock& clock, control_node& node,
                             grant_settings settings)
    : clock_(clock),
      node_(node),
      settings_(settings)
{}

grant_service::~grant_service() = default;

void grant_service::start(protocol::peer_hub& hub)
{
    hub.on_message(
        protocol::peer_channel::grants,
        [this](const std::string&, const std::string& payload,
               const auto& reply) { reply(handle_request(payload)); });
}

std::string grant_service::handle_request(const std::string& payload)
{
    const auto leads = node_.leads();
    const auto now = clock_.monotonic_now();
    const auto request = decode_grant_request(payload);
    if (!request || !may_order(leads, now))
    {
        return encode(grant_answer{});
    }
    auto& allocator = allocator_for(leads.term);
    const auto index = node_.state().applied_index();
    if (index != contracts_index_)
    {
        contracts_index_ = index;
        allocator.set_contracts(
            state::make_view(node_.state().tables()).contracts);
    }
    return encode(allocator.on_request(now, *request));
}

grant_allocator& grant_service::allocator_for(state::term_number term)
{
    if (!allocator_ || term_ != term)
    {
        allocator_.emplace(clock_.monotonic_now(), term, settings_);
        term_ = term;
        contracts_index_ = 0;
    }
    return *allocator_;
}

} // namespace hyssopdeal::coordination
