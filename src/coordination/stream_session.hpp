#ifndef HYSSOPDEAL_SRC_COORDINATION_STREAM_SESSION_HPP
#define HYSSOPDEAL_SRC_COORDINATION_STREAM_SESSION_HPP

/// @file
/// Internal: carries out what a stream's record decides: attempts at engines,
/// events to the caller.
///
/// Index: [stream_session]

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/holder_choice.hpp>
#include <hyssopdeal/coordination/limiter.hpp>
#include <hyssopdeal/coordination/stream_copies.hpp>
#include <hyssopdeal/coordination/stream_record.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_server.hpp>

#include "attempt.hpp"
#include "request_flow.hpp"
#include "service_lane.hpp"
#include "stream_wire.hpp"
#include "version_watch.hpp"

namespace hyssopdeal::coordination
{

// [stream_session] -----------------------------------------------------------

/// One stream on its owner; used on the shard's thread.
class stream_session : public std::enable_shared_from_this<stream_session>
{
public:
    stream_session(entry_shard& shard, std::string id, accepted_request request,
                   permit admitted, transport::http_responder responder);
    ~stream_session();

    /// Looks for the first engine.
    void start();

    /// Goes on with a stream that was taken over.
    void adopt(stream_copy copy, std::uint64_t last_event);

    /// Ends here; whoever the caller asks next takes the stream over.
    void hand_over();

    /// @return A fresh name for the owner of a stream.
    [[nodiscard]] static std::string owner_name(entry_shard& shard);

    /// A caller came back.
    ///
    /// @return Whether it was answered; else a newer owner must be looked for.
    [[nodiscard]] bool resume(std::string_view organisation,
                              std::uint64_t last_event,
                              const transport::http_responder& responder);

    [[nodiscard]] const std::string& id() const noexcept;
    [[nodiscard]] const accepted_request& request() const noexcept;

    /// @return The record, once an engine was chosen.
    [[nodiscard]] const stream_record* record() const noexcept;

    /// @return Whether it is not delivered whole and has not failed.
    [[nodiscard]] bool is_open() const noexcept;

private:
    // What the record orders.
    void pump();
    void perform(const copy_events& order);
    void perform(const deliver_events& order);
    void perform(const resume_stream& order);
    void perform(const cancel_attempt& order);
    void perform(const stream_finished& order);
    void perform(const stream_handed_over& order);
    void perform(const stream_failed& order);

    // Attempts.
    void choose();
    void on_outcome(lane_outcome outcome);
    void launch();
    void reattach(const resume_stream& order);
    void run(attempt_order order);
    void delete_attempt(attempt_id attempt);
    void on_event(engine_event event);
    void watch_event(stream_event_kind kind);
    void watch_loss(const transport::failure& error);
    void end_attempt();
    void on_end(const attempt_end& end);
    void on_answer(const transport::http_response& answer);
    void lose_engine(const transport::failure& error);
    void retry_first(const transport::failure& error);
    void retry_later(const transport::failure& error);
    void end_choice(attempt_outcome outcome);
    [[nodiscard]] transport::result<std::shared_ptr<const std::string>>
    body_for_attempt() const;

    // The caller.
    void begin_answer();
    void write(std::string bytes);
    void on_written(transport::write_status status, std::size_t bytes);
    void keep_alive();
    void fail(const transport::failure& error,
              std::chrono::milliseconds retry_after);
    void close(std::chrono::milliseconds retention);
    void set_timer();

    // The copies.
    void choose_holder();
    void lose_holder(const std::string& holder);
    void on_copied(const std::string& holder,
                   const transport::result<stream_answer>& answer);
    [[nodiscard]] stream_settings record_settings() const;
    [[nodiscard]] stream_question question(stream_question_kind kind) const;
    void close_copy();

    entry_shard& shard_;
    std::string id_;
    accepted_request request_;
    std::optional<permit> permit_;
    std::optional<transport::http_responder> responder_;
    std::optional<stream_record> record_;
    std::optional<route_choice> choice_;
    std::string server_address_; ///< Of the last choice.
    std::unique_ptr<engine_attempt> attempt_;
    std::vector<std::string> failed_servers_;
    std::uint64_t text_events_ = 0; ///< In the prefix of the next attempt.
    std::uint32_t attempts_ = 0;
    std::string owner_;  ///< Of this session, to holders.
    std::string holder_; ///< Empty: none.
    copy_spread spread_ = copy_spread::none;
    std::vector<std::string> failed_holders_;
    std::uint32_t fruitless_ = 0; ///< Attempts since the last event.
    std::uint32_t output_tokens_ = 0;
    std::size_t unsent_bytes_ = 0;
    bool begun_ = false;
    bool first_sent_ = false;
    transport::monotonic_time queue_entered_;
    transport::monotonic_time attempt_started_;
    bool closed_ = false;
    bool pumping_ = false;
    bool reattached_ = false; ///< The attempt goes on with an older one.
    bool first_token_seen_ = false;
    watched_attempt watched_;
    std::uint32_t watched_tokens_ = 0; ///< Of the attempt.
    bool wrote_lately_ = false;
    bool paused_ = false;
    transport::monotonic_time timer_at_ = transport::monotonic_time::max();
    transport::timer_handle record_timer_;
    transport::timer_handle retry_timer_;
    transport::timer_handle keep_alive_timer_;
};

} // namespace hyssopdeal::coordination

#endif
