#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_STREAM_MIGRATION_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_STREAM_MIGRATION_HPP

/// @file
/// State of a running stream's move from a server that ends soon, the source,
/// to another one, the target, which continues the same run. Handles sources
/// whose response ends during the move, and targets that do not resume the run.
/// Starts no calls itself.
///
/// Index: [stream_migration]

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <hyssopdeal/coordination/gateway/dialect.hpp>
#include <hyssopdeal/coordination/gateway/placement.hpp>
#include <hyssopdeal/transport/http1_client.hpp>

namespace hyssopdeal::coordination
{

// [stream_migration] ---------------------------------------------------------

struct stream_migration
{
    enum class stage : std::uint8_t
    {
        none,
        requested, ///< The source was asked to stop and hand over the stream.
        stopped    ///< The source stopped; last events may be in transit.
    };

    stage state = stage::none;
    std::uint32_t attempts = 0; ///< Of the request, including failed ones.
    transport::http1_call call; ///< To the source.
    std::shared_ptr<known_server> source;
    std::shared_ptr<known_server> target;
    bool state_copied = false; ///< Whether `target` has the run's state.
    /// An earlier request to stop the current attempt was not clearly declined.
    bool may_be_stopped = false;
    /// Handle of the stopped run that the current attempt resumes, or the next
    /// one will; empty: none.
    std::string run;
    /// How the source's response ended during the move.
    std::optional<transport::http1_call_end> source_end;

    [[nodiscard]] bool in_progress() const noexcept
    {
        return state != stage::none;
    }

    /// @return The server that is to resume the stopped run.
    [[nodiscard]] const std::shared_ptr<known_server>&
    resuming_server() const noexcept
    {
        return state_copied ? target : source;
    }

    void begin(std::shared_ptr<known_server> from,
               std::shared_ptr<known_server> to)
    {
        ++attempts;
        state = stage::requested;
        source = std::move(from);
        target = std::move(to);
        source_end.reset();
    }

    /// Records that the source stopped the stream.
    void on_stopped(const move_result& move)
    {
        state = stage::stopped;
        run = move.moved_run;
        state_copied = move.copied;
    }

    /// Records that the source did not confirm that it stopped the stream,
    /// which therefore stays there.
    ///
    /// @return How the source's response ended meanwhile; nothing if it has not
    ///     ended.
    [[nodiscard]] std::optional<transport::http1_call_end>
    on_declined(const move_result& move)
    {
        const bool uncertain = may_be_stopped || !move.not_stopped;
        auto ended = std::exchange(source_end, std::nullopt);
        end();
        may_be_stopped = uncertain;
        return ended;
    }

    /// Records that a server did not resume the run.
    ///
    /// @return The source if it still has the run and was not asked yet,
    ///     otherwise null.
    [[nodiscard]] std::shared_ptr<known_server>
    on_not_resumed(const std::shared_ptr<known_server>& server)
    {
        return std::exchange(state_copied, false) && server != source ? source
                                                                      : nullptr;
    }

    /// Ends the move together with the attempt on the source. The stopped run
    /// is kept, as the next attempt may resume it.
    void end()
    {
        state = stage::none;
        call.cancel();
        may_be_stopped = false;
        source_end.reset();
    }

    /// Ends the move and forgets the stopped run.
    void reset()
    {
        end();
        source.reset();
        target.reset();
        state_copied = false;
        run.clear();
    }
};

} // namespace hyssopdeal::coordination

#endif
