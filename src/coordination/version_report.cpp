#include <hyssopdeal/coordination/version_summary.hpp>

#include <algorithm>

#include "protocol/thrift_bytes.hpp"
#include "reports_types.h"

namespace hyssopdeal::coordination
{

namespace
{

namespace gen = protocol::gen;

constexpr std::int32_t report_schema = 1;
constexpr std::size_t max_report_cells = 4'096;

std::vector<std::int64_t> to_wire(const latency_counts& counts)
{
    return {counts.bins.begin(), counts.bins.end()};
}

bool from_wire(const std::vector<std::int64_t>& wire, latency_counts& counts)
{
    if (wire.size() != latency_counts::bin_count ||
        std::any_of(wire.begin(), wire.end(),
                    [](std::int64_t value) { return value < 0; }))
    {
        return false;
    }
    std::copy(wire.begin(), wire.end(), counts.bins.begin());
    return true;
}

gen::version_cell to_wire(const version_cell& cell)
{
    gen::version_cell wire;
    wire.version = cell.version;
    wire.route = cell.route;
    wire.load = static_cast<std::int32_t>(cell.load);
    wire.requests = static_cast<std::int64_t>(cell.requests);
    wire.failed = static_cast<std::int64_t>(cell.failed);
    wire.broken = static_cast<std::int64_t>(cell.broken);
    wire.empty = static_cast<std::int64_t>(cell.empty);
    wire.first_token = to_wire(cell.first_token);
    wire.between_tokens = to_wire(cell.between_tokens);
    return wire;
}

bool from_wire(const gen::version_cell& wire, version_cell& cell)
{
    const auto bad = wire.failed + wire.broken + wire.empty;
    if (wire.load < 0 ||
        wire.load >= static_cast<std::int32_t>(load_bucket_count) ||
        wire.failed < 0 || wire.broken < 0 || wire.empty < 0 ||
        wire.requests < bad)
    {
        return false;
    }
    cell.version = wire.version;
    cell.route = wire.route;
    cell.load = static_cast<load_bucket>(wire.load);
    cell.requests = static_cast<std::uint64_t>(wire.requests);
    cell.failed = static_cast<std::uint64_t>(wire.failed);
    cell.broken = static_cast<std::uint64_t>(wire.broken);
    cell.empty = static_cast<std::uint64_t>(wire.empty);
    return from_wire(wire.first_token, cell.first_token) &&
           from_wire(wire.between_tokens, cell.between_tokens);
}

gen::version_report to_wire(const version_report& value)
{
    gen::version_report wire;
    wire.schema = report_schema;
    wire.entry = value.entry;
    wire.incarnation = static_cast<std::int64_t>(value.incarnation);
    wire.sequence = static_cast<std::int64_t>(value.sequence);
    wire.service_name = value.service;
    for (const auto& cell : value.cells)
    {
        wire.cells.push_back(to_wire(cell));
    }
    for (const auto& trip : value.trips)
    {
        gen::guard_trip out;
        out.version = trip.version;
        out.route = trip.route;
        out.failures_in_a_row =
            static_cast<std::int64_t>(trip.failures_in_a_row);
        wire.trips.push_back(std::move(out));
    }
    wire.offered_requests = static_cast<std::int64_t>(value.offered_requests);
    wire.interactive_requests =
        static_cast<std::int64_t>(value.interactive_requests);
    wire.busy_us = value.busy.count();
    wire.period_us = value.period.count();
    return wire;
}

transport::result<version_report> from_wire(const gen::version_report& wire)
{
    const auto bad = [](const char* text) {
        return transport::fail(transport::reason::bad_request, text);
    };
    if (wire.schema != report_schema)
    {
        return bad("The report's schema is not known.");
    }
    if (wire.cells.size() > max_report_cells || wire.offered_requests < 0 ||
        wire.interactive_requests < 0 || wire.busy_us < 0 || wire.period_us < 0)
    {
        return bad("The report holds a number that is out of range.");
    }
    version_report value;
    value.entry = wire.entry;
    value.incarnation = static_cast<std::uint64_t>(wire.incarnation);
    value.sequence = static_cast<std::uint64_t>(wire.sequence);
    value.service = wire.service_name;
    for (const auto& cell : wire.cells)
    {
        if (!from_wire(cell, value.cells.emplace_back()))
        {
            return bad("A cell of the report is not valid.");
        }
    }
    for (const auto& trip : wire.trips)
    {
        value.trips.push_back(
            {trip.version, trip.route,
             static_cast<std::uint64_t>(trip.failures_in_a_row)});
    }
    value.offered_requests = static_cast<std::uint64_t>(wire.offered_requests);
    value.interactive_requests =
        static_cast<std::uint64_t>(wire.interactive_requests);
    value.busy = std::chrono::microseconds{wire.busy_us};
    value.period = std::chrono::microseconds{wire.period_us};
    return value;
}

} // namespace

std::string encode(const version_report& value)
{
    return protocol::to_bytes(to_wire(value));
}

transport::result<version_report> decode_version_report(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::version_report>(bytes);
    if (!wire)
    {
        return transport::fail(transport::reason::bad_request,
                               "The report is not valid Thrift.");
    }
    return from_wire(*wire);
}

} // namespace hyssopdeal::coordination
