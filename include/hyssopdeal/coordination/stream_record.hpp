#ifndef HYSSOPDEAL_COORDINATION_STREAM_RECORD_HPP
#define HYSSOPDEAL_COORDINATION_STREAM_RECORD_HPP

/// @file
/// State machine of one accepted stream on the entry that owns it: which engine
/// events count, what must be copied before the caller gets it, and how the
/// stream goes on after a loss.
///
/// Index: [ids] [stream_origin] [stream_event] [engine_events] [actions]
///        [settings] [stream_record]
///
/// Drive it with engine events, acknowledgements and losses; carry out the
/// actions that it returns. At most one owner produces: every action of an
/// owner with an older epoch is refused by holders and callers' entries.

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [ids] ----------------------------------------------------------------------

/// 128 random bits that name one attempt on a backend server.
struct attempt_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const attempt_id&) const = default;
};

/// @return 32 lower-case hex digits.
[[nodiscard]] std::string to_string(const attempt_id& id);

/// @return The id, or bad_request when it is not 32 hex digits.
[[nodiscard]] transport::result<attempt_id>
parse_attempt_id(std::string_view text);

/// Number of the owner's tenure; a take-over raises it.
using owner_epoch = std::uint64_t;

// [stream_origin] ------------------------------------------------------------

/// What is needed to go on with a stream anywhere; copied before the first
/// event leaves.
struct stream_origin
{
    std::string stream;       ///< Id told to the caller.
    std::string organisation; ///< Only this one may resume it.
    std::string service;
    std::string version; ///< The stream ends on it.
    std::string target;  ///< Path and query of the request.
    std::string body;    ///< The request.
    protocol::priority_class priority = protocol::priority_class::standard;
    double prompt_tokens = 0;         ///< Estimated.
    std::uint32_t max_new_tokens = 0; ///< 0: no limit asked.
};

// [stream_event] -------------------------------------------------------------

/// Whether an event is one of text or the last one.
enum class stream_event_kind : std::uint8_t
{
    text,
    finish, ///< Carries the finish reason and the usage.
    done    ///< The end mark.
};

/// An event of the answer, as the caller gets it.
struct stream_event
{
    std::uint64_t number = 0; ///< From 1; `id:` of the caller's event.
    stream_event_kind kind = stream_event_kind::text;
    std::string text; ///< What it adds to the answer.
    std::string data; ///< The `data:` line.
};

// [engine_events] ------------------------------------------------------------

/// An event as a backend server sent it.
struct engine_event
{
    attempt_id attempt;         ///< As the server named it.
    std::uint64_t sequence = 0; ///< From 1 within the attempt.
    stream_event_kind kind = stream_event_kind::text;
    std::string text;
    std::string data;
};

/// What became of an engine event.
enum class event_outcome : std::uint8_t
{
    accepted,
    duplicate,     ///< Dropped.
    stale_attempt, ///< Of an older attempt or of another stream; dropped.
    gap,           ///< One before it is missing: the stream must resume.
    after_end      ///< Dropped.
};

// [actions] ------------------------------------------------------------------

/// Send a batch to the holder; it answers with the last number that it has.
/// `to` below `from`: no events, only the origin and the attempt.
struct copy_events
{
    std::uint64_t from = 1;     ///< Number of the first.
    std::uint64_t to = 0;       ///< Number of the last.
    attempt_id attempt;         ///< The one that produces now.
    std::uint64_t sequence = 0; ///< Of the attempt, at event `to`.
};

/// Send events to the caller.
struct deliver_events
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
};

/// How the stream goes on after the loss of its engine.
enum class resume_way : std::uint8_t
{
    resume_on_engine, ///< GET /v1/attempts/{ATTEMPT}?from=SEQ.
    move_kv,          ///< Export there, import elsewhere, then go on.
    prefill           ///< Prompt plus text so far, elsewhere, same version.
};

/// Start the next attempt, or go on with the current one.
struct resume_stream
{
    resume_way way = resume_way::prefill;
    attempt_id attempt;              ///< Whose events count from now on.
    attempt_id previous;             ///< The one that was lost.
    std::uint64_t from_sequence = 1; ///< For resume_on_engine.
    std::uint64_t text_events = 0;   ///< Events whose text is in the prefix.
    double recomputed_tokens = 0;    ///< Prompt plus text, for prefill.
};

/// Cancel the attempt on its engine.
struct cancel_attempt
{
    attempt_id attempt;
};

/// The stream is whole and delivered; forget it after its retention.
struct stream_finished
{};

/// Another owner produces the stream; end the caller's connection here without
/// an end mark.
struct stream_handed_over
{};

/// The stream cannot go on; tell the caller at once.
struct stream_failed
{
    transport::failure error;
};

using stream_action =
    std::variant<copy_events, deliver_events, resume_stream, cancel_attempt,
                 stream_finished, stream_handed_over, stream_failed>;

// [settings] -----------------------------------------------------------------

/// When an event may leave for the caller.
enum class copy_order : std::uint8_t
{
    before_send, ///< Once its copy is acknowledged.
    behind       ///< After the first acknowledgement, without waiting.
};

/// Batches, windows and caps.
struct stream_settings
{
    copy_order copies = copy_order::before_send;
    std::uint32_t batch_events = 16;     ///< Sent before the batch time.
    std::uint32_t batches_in_flight = 4; ///< Pipelined.
    std::chrono::milliseconds batch_time{5};
    std::chrono::milliseconds resume_window{30'000};  ///< For a gone caller.
    std::chrono::milliseconds engine_silence{10'000}; ///< Then it is lost.
    std::uint32_t max_resumes = 8;      ///< Without progress; then it fails.
    std::uint32_t progress_events = 16; ///< That count as progress.
    std::size_t max_bytes = 4'194'304;  ///< Of one answer.
};

/// What is known of an engine that was lost or will be.
struct engine_loss
{
    enum class cause : std::uint8_t
    {
        connection_lost, ///< The engine may still run the attempt.
        gap,             ///< An event is missing; the engine has it.
        engine_gone,     ///< Dead, or it does not know the attempt.
        reclaim_notice   ///< It goes away at `gone_at`.
    };
    cause why = cause::connection_lost;
    transport::monotonic_time gone_at{};       ///< For reclaim_notice.
    std::chrono::milliseconds kv_move_time{0}; ///< Expected; 0: unknown.
};

/// Phase of a stream.
enum class stream_phase : std::uint8_t
{
    running,
    ended,    ///< All events are here; some may wait for copies.
    finished, ///< Delivered whole.
    failed,
    handed_over ///< Another owner has a newer epoch.
};

/// Whether another entry instance can keep a copy.
enum class holder_presence : std::uint8_t
{
    chosen,
    none ///< `Hyssopdeal-Copies: 1`.
};

// [stream_record] ------------------------------------------------------------

/// One stream on its owner.
class stream_record
{
public:
    /// Opens a new stream.
    ///
    /// @param attempt The first attempt's id.
    /// @param epoch 1 for a new stream.
    stream_record(transport::monotonic_time now, stream_origin origin,
                  attempt_id attempt, owner_epoch epoch,
                  stream_settings settings);

    /// Takes a stream over with what its copy holds. Unless the copy is whole,
    /// call on_engine_loss() next: connection_lost when the attempt may still
    /// run, engine_gone when there is none.
    ///
    /// @param attempt The attempt that the copy names.
    /// @param sequence Its last engine sequence in the copy.
    stream_record(transport::monotonic_time now, stream_origin origin,
                  std::vector<stream_event> copied, attempt_id attempt,
                  std::uint64_t sequence, owner_epoch epoch,
                  stream_settings settings);
    stream_record(stream_record&&) noexcept;
    stream_record& operator=(stream_record&&) noexcept;
    ~stream_record();

    /// Takes an event of an engine.
    event_outcome on_engine_event(transport::monotonic_time now,
                                  engine_event event);

    /// The engine's answer ended, with or without its end mark.
    void on_engine_closed(transport::monotonic_time now, attempt_id attempt);

    /// The engine is lost or will be.
    ///
    /// @param next Id of the next attempt, if one is needed.
    void on_engine_loss(transport::monotonic_time now, const engine_loss& loss,
                        attempt_id next);

    /// A server has accepted the attempt that was ordered; its silence counts
    /// from now on. Until then the time limits of the call to it apply.
    void on_attempt_started(transport::monotonic_time now, attempt_id attempt);

    /// The way that was taken did not work (engine gone, no KV target).
    void on_resume_failed(transport::monotonic_time now, attempt_id next);

    /// No server can go on with the stream in time.
    void on_given_up(transport::monotonic_time now,
                     const transport::failure& error);

    /// The holder has the stream's origin and events up to a number. Answers of
    /// a former holder must not be passed on.
    void on_copied(transport::monotonic_time now, std::uint64_t up_to);

    /// The holder is lost; copies start again at the next one.
    void on_holder_lost(transport::monotonic_time now);

    /// A holder was chosen, or there is none.
    void on_holder_chosen(transport::monotonic_time now,
                          holder_presence presence);

    /// A caller is connected and has everything up to a number.
    ///
    /// @return forbidden for another organisation; revision_conflict when the
    ///     caller has more than was ever sent from here: a newer owner sent it,
    ///     whose copy must be looked for.
    [[nodiscard]] transport::result<void>
    on_caller(transport::monotonic_time now, std::string_view organisation,
              std::uint64_t last_event);

    /// The caller's connection is gone.
    void on_caller_left(transport::monotonic_time now);

    /// Another owner has a newer epoch; nothing is produced any more.
    void on_newer_epoch(transport::monotonic_time now, owner_epoch epoch);

    /// A holder refused a copy, as it has one of a newer owner or of another
    /// with the same epoch. Nothing is produced any more: of two owners with
    /// the same epoch both give up, and the caller's next return takes the
    /// stream over with a higher one.
    void on_copy_refused(transport::monotonic_time now);

    /// Time passed: batch time, resume window, engine silence.
    void on_time(transport::monotonic_time now);

    /// @return What to do, in order; empties the list.
    [[nodiscard]] std::vector<stream_action> take_actions();

    /// @return When on_time() is due next; far away when never.
    [[nodiscard]] transport::monotonic_time next_time() const noexcept;

    [[nodiscard]] const stream_origin& origin() const noexcept;
    [[nodiscard]] const std::vector<stream_event>& events() const noexcept;
    [[nodiscard]] attempt_id attempt() const noexcept;
    [[nodiscard]] owner_epoch epoch() const noexcept;
    [[nodiscard]] stream_phase phase() const noexcept;
    [[nodiscard]] std::uint64_t copied_to() const noexcept;
    [[nodiscard]] std::uint64_t delivered_to() const noexcept;
    [[nodiscard]] std::size_t bytes() const noexcept;
    [[nodiscard]] double recomputed_tokens() const noexcept;

    /// @return The text that the caller has or will get of the events so far.
    [[nodiscard]] std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
