#ifndef HYSSOPDEAL_SRC_STATE_WIRE_MAPPING_HPP
#define HYSSOPDEAL_SRC_STATE_WIRE_MAPPING_HPP

/// @file
/// Copies records to and from their Thrift structs by one list of fields for
/// both ways. Internal.
///
/// Index: [enums] [directions] [conversion]

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::state
{

/// The Thrift struct of a record and its list of fields; see wire_fields.hpp.
template <class Record>
struct wire_fields;

template <class Record>
concept mapped_record = requires
{
    typename wire_fields<Record>::wire;
};

// [enums] --------------------------------------------------------------------

/// A value on the wire that no enumerator has.
class unknown_value : public std::runtime_error
{
public:
    unknown_value()
        : std::runtime_error{"unknown enumerator"}
    {}
};

/// Greatest enumerator of an enumeration that goes over the wire.
template <class Enum>
struct last_enumerator;

template <class Enum>
Enum checked_enum(std::int64_t number)
{
    if (number < 0 ||
        number > static_cast<std::int64_t>(last_enumerator<Enum>::value))
    {
        throw unknown_value{};
    }
    return static_cast<Enum>(number);
}

// [directions] ---------------------------------------------------------------

/// Copies each field of a record to its Thrift struct.
struct to_wire_direction
{
    template <class Value, class Wire>
    void operator()(const Value& value, Wire& wire) const
    {
        if constexpr (mapped_record<Value>)
        {
            wire_fields<Value>::map(*this, value, wire);
        }
        else if constexpr (std::is_same_v<Value, transport::wall_time>)
        {
            wire = value.time_since_epoch().count();
        }
        else if constexpr (std::is_same_v<Value, std::chrono::milliseconds>)
        {
            wire = value.count();
        }
        else
        {
            wire = static_cast<Wire>(value);
        }
    }

    template <class Value, class Wire>
    void operator()(const std::vector<Value>& values,
                    std::vector<Wire>& wires) const
    {
        wires.resize(values.size());
        for (std::size_t at = 0; at < values.size(); ++at)
        {
            (*this)(values[at], wires[at]);
        }
    }
};

/// Copies each field of a Thrift struct to its record.
struct from_wire_direction
{
    template <class Value, class Wire>
    void operator()(Value& value, const Wire& wire) const
    {
        if constexpr (mapped_record<Value>)
        {
            wire_fields<Value>::map(*this, value, wire);
        }
        else if constexpr (std::is_same_v<Value, transport::wall_time>)
        {
            value = transport::wall_time{std::chrono::milliseconds{wire}};
        }
        else if constexpr (std::is_same_v<Value, std::chrono::milliseconds>)
        {
            value = std::chrono::milliseconds{wire};
        }
        else if constexpr (std::is_enum_v<Value>)
        {
            value = checked_enum<Value>(wire);
        }
        else
        {
            value = static_cast<Value>(wire);
        }
    }

    template <class Value, class Wire>
    void operator()(std::vector<Value>& values,
                    const std::vector<Wire>& wires) const
    {
        values.resize(wires.size());
        for (std::size_t at = 0; at < wires.size(); ++at)
        {
            (*this)(values[at], wires[at]);
        }
    }
};

// [conversion] ---------------------------------------------------------------

/// @return The Thrift struct of a record.
template <mapped_record Record>
typename wire_fields<Record>::wire to_wire(const Record& record)
{
    typename wire_fields<Record>::wire wire;
    to_wire_direction{}(record, wire);
    return wire;
}

/// @return The record of a Thrift struct; throws unknown_value.
template <mapped_record Record>
Record from_wire(const typename wire_fields<Record>::wire& wire)
{
    Record record;
    from_wire_direction{}(record, wire);
    return record;
}

} // namespace hyssopdeal::state

#endif
