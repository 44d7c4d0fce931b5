#ifndef HYSSOPDEAL_STATE_LOG_RECORD_HPP
#define HYSSOPDEAL_STATE_LOG_RECORD_HPP

/// @file
/// What a replica keeps on its disk: records, term and vote, snapshots.
///
/// Index: [log_record] [hard_state] [snapshot] [persist_request]

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/state/records.hpp>

namespace hyssopdeal::state
{

// [log_record] ---------------------------------------------------------------

/// What a record's payload is; the value is on disk and never reused.
enum class record_kind : std::uint8_t
{
    empty = 0,   ///< First record of a leader; its id, in decimal.
    command = 1, ///< An encoded command.
    replicas = 2 ///< An encoded replica_set.
};

/// One record of the log.
struct log_record
{
    log_index index = 0;
    term_number term = 0;
    record_kind kind = record_kind::empty;
    std::string payload;

    bool operator==(const log_record&) const = default;
};

// [hard_state] ---------------------------------------------------------------

/// What must be on disk before a vote or an append is answered.
struct hard_state
{
    std::uint64_t id = 0;        ///< Of this replica and this disk.
    term_number term = 0;        ///< Latest seen.
    std::uint64_t voted_for = 0; ///< In that term; 0: nobody.

    bool operator==(const hard_state&) const = default;
};

// [snapshot] -----------------------------------------------------------------

/// The state at one index, in place of all records up to it.
struct snapshot
{
    log_index index = 0;
    term_number term = 0;
    replica_set replicas;                     ///< In effect at the index.
    std::shared_ptr<const std::string> bytes; ///< Null: none yet.
};

// [persist_request] ----------------------------------------------------------

/// One batch for the disk, carried out in the order of its fields and synced
/// before it counts as done.
struct persist_request
{
    std::uint64_t number = 0;          ///< Grows by one each.
    std::optional<hard_state> hard;    ///< To replace.
    std::optional<snapshot> snap;      ///< To store.
    std::optional<log_index> truncate; ///< Drop records from it on.
    std::optional<log_index> cut;      ///< Records up to it may go.
    std::vector<log_record> records;   ///< To append.
};

/// What a disk held when it was opened.
struct recovered_state
{
    hard_state hard;
    snapshot snap;
    std::vector<log_record> records; ///< After the snapshot, without a gap.
    std::uint64_t torn_bytes = 0;    ///< Cut off behind the last record.
};

} // namespace hyssopdeal::state

#endif
