#include "grant_wire.hpp"

#include <cmath>
#include <utility>

#include "grants_types.h"
#include "protocol/thrift_bytes.hpp"

namespace hyssopdeal::coordination
{

namespace
{

namespace gen = protocol::gen;

gen::allotment_wire to_wire(const allotment& amounts)
{
    gen::allotment_wire wire;
    wire.requests_per_second = amounts.requests_per_second;
    wire.request_burst = amounts.request_burst;
    wire.tokens_per_second = amounts.tokens_per_second;
    wire.token_burst = amounts.token_burst;
    wire.concurrent_streams = amounts.concurrent_streams;
    return wire;
}

std::vector<gen::held_grant_wire> to_wire(const std::vector<held_grant>& held)
{
    std::vector<gen::held_grant_wire> wires;
    wires.reserve(held.size());
    for (const auto& grant : held)
    {
        gen::held_grant_wire wire;
        wire.organisation = grant.organisation;
        wire.amounts = to_wire(grant.amounts);
        wires.push_back(std::move(wire));
    }
    return wires;
}

bool is_valid_amount(double value)
{
    return std::isfinite(value) && value >= 0;
}

bool has_valid_amounts(const gen::allotment_wire& wire)
{
    return is_valid_amount(wire.requests_per_second) &&
           is_valid_amount(wire.request_burst) &&
           is_valid_amount(wire.tokens_per_second) &&
           is_valid_amount(wire.token_burst) &&
           is_valid_amount(wire.concurrent_streams);
}

transport::result<std::vector<held_grant>>
from_wire(const std::vector<gen::held_grant_wire>& wires)
{
    std::vector<held_grant> held;
    for (const auto& wire : wires)
    {
        if (!has_valid_amounts(wire.amounts))
        {
            return transport::fail(
                transport::reason::corrupt,
                "A grant has a negative or non-finite amount.");
        }
        const auto& from = wire.amounts;
        held.push_back({wire.organisation,
                        {from.requests_per_second, from.request_burst,
                         from.tokens_per_second, from.token_burst,
                         from.concurrent_streams}});
    }
    return held;
}

} // namespace

std::string encode(const grant_request& request)
{
    gen::grant_request_wire wire;
    wire.node = request.node;
    wire.held_term = static_cast<std::int64_t>(request.held_term);
    wire.held_number = static_cast<std::int64_t>(request.held_number);
    wire.held = to_wire(request.held);
    for (const auto& demand : request.demand)
    {
        gen::limit_demand_wire wire_demand;
        wire_demand.organisation = demand.organisation;
        wire_demand.requests_per_second = demand.requests_per_second;
        wire_demand.tokens_per_second = demand.tokens_per_second;
        wire_demand.open_streams =
            static_cast<std::int32_t>(demand.open_streams);
        wire_demand.refused_streams =
            static_cast<std::int32_t>(demand.refused_streams);
        wire.demand.push_back(std::move(wire_demand));
    }
    return protocol::to_bytes(wire);
}

std::string encode(const grant_answer& answer)
{
    gen::grant_answer_wire wire;
    wire.term = static_cast<std::int64_t>(answer.term);
    wire.number = static_cast<std::int64_t>(answer.number);
    wire.valid_for_ms = answer.valid_for.count();
    wire.grants = to_wire(answer.grants);
    return protocol::to_bytes(wire);
}

transport::result<grant_request> decode_grant_request(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::grant_request_wire>(bytes);
    if (!wire)
    {
        return tl::unexpected(wire.error());
    }
    auto held = from_wire(wire->held);
    if (!held)
    {
        return tl::unexpected(held.error());
    }
    grant_request request;
    request.node = wire->node;
    request.held_term = static_cast<std::uint64_t>(wire->held_term);
    request.held_number = static_cast<std::uint64_t>(wire->held_number);
    request.held = std::move(*held);
    for (const auto& wire_demand : wire->demand)
    {
        if (!is_valid_amount(wire_demand.requests_per_second) ||
            !is_valid_amount(wire_demand.tokens_per_second))
        {
            return transport::fail(
                transport::reason::corrupt,
                "A demand has a negative or non-finite rate.");
        }
        request.demand.push_back(
            {wire_demand.organisation, wire_demand.requests_per_second,
             wire_demand.tokens_per_second,
             static_cast<std::uint32_t>(wire_demand.open_streams),
             static_cast<std::uint32_t>(wire_demand.refused_streams)});
    }
    return request;
}

transport::result<grant_answer> decode_grant_answer(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::grant_answer_wire>(bytes);
    if (!wire)
    {
        return tl::unexpected(wire.error());
    }
    auto grants = from_wire(wire->grants);
    if (!grants)
    {
        return tl::unexpected(grants.error());
    }
    grant_answer answer;
    answer.term = static_cast<std::uint64_t>(wire->term);
    answer.number = static_cast<std::uint64_t>(wire->number);
    answer.valid_for = std::chrono::milliseconds{wire->valid_for_ms};
    answer.grants = std::move(*grants);
    return answer;
}

} // namespace hyssopdeal::coordination
