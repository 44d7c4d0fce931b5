#ifndef HYSSOPDEAL_PROTOCOL_SPAN_WRITER_HPP
#define HYSSOPDEAL_PROTOCOL_SPAN_WRITER_HPP

/// @file
/// Writes spans to a file as OTLP JSON, one export request a line.
///
/// Index: [span] [span_writer]

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/protocol/trace_context.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [span] ---------------------------------------------------------------------

/// Wall time as spans need it.
using span_time = std::chrono::sys_time<std::chrono::nanoseconds>;

/// Which side of a call a span is about.
enum class span_kind : std::uint8_t
{
    internal = 1,
    server = 2,
    client = 3
};

/// Whether what the span is about went well.
enum class span_status : std::uint8_t
{
    ok = 1,
    error = 2
};

/// One attribute.
struct span_attribute
{
    std::string_view key;
    std::string value;
};

/// One hop of a request.
struct span
{
    trace_context context;    ///< Its trace and own id.
    std::uint64_t parent = 0; ///< Id of the span above; 0: none.
    std::string_view name;    ///< Such as `attempt`.
    span_kind kind = span_kind::internal;
    span_status status = span_status::ok;
    span_time start;
    span_time end;
    std::vector<span_attribute> attributes;
};

// [span_writer] --------------------------------------------------------------

/// Appends spans to a file; used by one thread, several may share a file.
class span_writer
{
public:
    /// @param instance Name of this process.
    span_writer(std::string path, std::string instance);
    span_writer(const span_writer&) = delete;
    span_writer& operator=(const span_writer&) = delete;
    ~span_writer();

    /// Opens the file, made if it is not there.
    [[nodiscard]] transport::result<void> open();

    /// Keeps a span until the next flush(). Beyond the buffer's bound spans
    /// are dropped and counted.
    void add(const span& finished);

    /// Writes what is kept.
    void flush();

    /// @return Spans dropped because the file took them too slowly.
    [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::protocol

#endif
