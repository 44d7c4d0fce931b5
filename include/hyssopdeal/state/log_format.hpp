#ifndef HYSSOPDEAL_STATE_LOG_FORMAT_HPP
#define HYSSOPDEAL_STATE_LOG_FORMAT_HPP

/// @file
/// Bytes of the files in a data folder. Internal to log storage.
///
/// Index: [names] [segments] [hard_state] [snapshots]

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/state/log_record.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::state::log_format
{

// [names] --------------------------------------------------------------------

inline constexpr std::string_view hard_state_name = "term";
inline constexpr std::string_view hard_state_aside = "term.new";
inline constexpr std::string_view snapshot_aside = "snapshot.new";

/// @return `log-INDEX`, with leading zeros.
[[nodiscard]] std::string segment_name(log_index first);

/// @return `snapshot-INDEX`, with leading zeros.
[[nodiscard]] std::string snapshot_name(log_index index);

/// @return The index in a name with the given prefix, if it is one.
[[nodiscard]] std::optional<log_index> index_in(std::string_view name,
                                                std::string_view prefix);

// [segments] -----------------------------------------------------------------

/// Encodes one record.
///
/// @param durable Last index that was synced before this record was written;
///     tells damage of synced records from a batch that was cut short.
[[nodiscard]] std::string encode_record(const log_record& record,
                                        log_index durable);

/// Where a record begins in its segment.
struct record_place
{
    log_record record;
    std::uint64_t offset = 0; ///< Bytes from the start of the file.
};

/// A segment read to its last whole record.
struct segment_content
{
    std::vector<record_place> records;
    std::uint64_t good_bytes = 0; ///< Up to the end of the last whole record.
    std::uint64_t torn_bytes = 0; ///< Behind it.
};

/// Whether a segment may end in the middle of a batch.
enum class segment_position
{
    inner,
    last
};

/// Reads a segment.
///
/// @param name For the text of a failure.
/// @param first Index that it must begin with.
/// @return `corrupt`, with file and offset, when synced records are damaged.
[[nodiscard]] transport::result<segment_content>
decode_segment(std::string_view name, std::string_view bytes, log_index first,
               segment_position position);

// [hard_state] ---------------------------------------------------------------

[[nodiscard]] std::string encode_hard_state(const hard_state& value);
[[nodiscard]] transport::result<hard_state>
decode_hard_state(std::string_view bytes);

// [snapshots] ----------------------------------------------------------------

[[nodiscard]] std::string encode_snapshot(const snapshot& value);
[[nodiscard]] transport::result<snapshot>
decode_snapshot(std::string_view name, std::string_view bytes);

} // namespace hyssopdeal::state::log_format

#endif
