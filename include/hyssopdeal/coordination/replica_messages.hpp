#ifndef HYSSOPDEAL_COORDINATION_REPLICA_MESSAGES_HPP
#define HYSSOPDEAL_COORDINATION_REPLICA_MESSAGES_HPP

/// @file
/// Messages between the replicas of the log.
///
/// Index: [votes] [appends] [snapshots] [replica_message] [encoding]

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <hyssopdeal/coordination/reconcile.hpp>
#include <hyssopdeal/state/log_record.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [votes] --------------------------------------------------------------------

/// Which kind of election a vote is for.
enum class vote_kind : std::uint8_t
{
    pre,     ///< Asks whether an election could be won; binds nobody.
    regular, ///< Refused while a leader is heard.
    transfer ///< The leader asked for it: given also while it is heard.
};

struct vote_request
{
    vote_kind kind = vote_kind::pre;
    state::log_index last_index = 0;
    state::term_number last_term = 0;

    bool operator==(const vote_request&) const = default;
};

enum class vote_answer : std::uint8_t
{
    refused,
    granted
};

struct vote_reply
{
    vote_kind kind = vote_kind::pre;
    vote_answer answer = vote_answer::refused;
    reconcile_hint hint; ///< With a granted vote, when the strategy is exact.

    bool operator==(const vote_reply&) const = default;
};

// [appends] ------------------------------------------------------------------

/// Records after `prev`; none in a heartbeat.
struct append_request
{
    state::log_index prev_index = 0;
    state::term_number prev_term = 0;
    state::log_index commit = 0;
    std::vector<state::log_record> records;
    std::int64_t sent = 0; ///< Leader's clock, given back in the reply.

    bool operator==(const append_request&) const = default;
};

enum class append_answer : std::uint8_t
{
    refused, ///< The record at prev is not the leader's.
    accepted
};

struct append_reply
{
    append_answer answer = append_answer::refused;
    state::log_index match = 0; ///< On disk and equal up to here.
    std::int64_t sent = 0;      ///< Of the latest request.
    reconcile_hint hint;        ///< When refused.

    bool operator==(const append_reply&) const = default;
};

// [snapshots] ----------------------------------------------------------------

/// A piece of a snapshot.
struct snapshot_chunk
{
    state::log_index index = 0;
    state::term_number term = 0; ///< Of the record at the index.
    state::replica_set replicas;
    std::uint64_t total = 0; ///< Bytes of the whole snapshot.
    std::uint32_t crc = 0;   ///< Of the whole snapshot.
    std::uint64_t offset = 0;
    std::string bytes;
    std::int64_t sent = 0;

    bool operator==(const snapshot_chunk&) const = default;
};

struct snapshot_reply
{
    state::log_index index = 0;
    std::uint64_t received = 0; ///< The next chunk begins here.
    std::int64_t sent = 0;

    bool operator==(const snapshot_reply&) const = default;
};

/// Tells a caught-up voter to stand for election now.
struct take_over
{
    bool operator==(const take_over&) const = default;
};

// [replica_message] ----------------------------------------------------------

using replica_message_body =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, take_over>;

/// A message from one replica to another.
struct replica_message
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    state::term_number term = 0;
    transport::wall_time wall{}; ///< Sender's wall clock.
    replica_message_body body;

    bool operator==(const replica_message&) const = default;
};

// [encoding] -----------------------------------------------------------------

/// @return The message as bytes.
[[nodiscard]] std::string encode(const replica_message& value);

/// @return The message, or `corrupt`.
[[nodiscard]] transport::result<replica_message>
decode_replica_message(std::string_view bytes);

} // namespace hyssopdeal::coordination

#endif
