#ifndef HYSSOPDEAL_COORDINATION_LEARNER_HPP
#define HYSSOPDEAL_COORDINATION_LEARNER_HPP

/// @file
/// How entries follow the committed declarations: a source that pushes deltas
/// to its followers, and a learner that takes them. Decision modules without
/// I/O; an entry runs both, so that it can relay within its failure domain.
///
/// Index: [settings] [declaration_source] [learner_events] [learner]
///        [source_choice] [encoding]

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/state/declarations.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Times of learning.
struct learning_settings
{
    std::chrono::milliseconds pull_interval{1'000};   ///< Also a heartbeat.
    std::chrono::milliseconds source_time_limit{400}; ///< For an answer.
    std::chrono::milliseconds retry_wait{100};        ///< After a bad answer.
    std::chrono::milliseconds wait_for_latest{3'000}; ///< After a restart.
    std::chrono::milliseconds push_gap{20}; ///< Between pushes, at least.
    std::chrono::milliseconds follower_time{4'000}; ///< Silent: forgotten.
    std::size_t direct_members = 16;     ///< Larger domains use relays.
    std::size_t followers_of_relay = 24; ///< On average; bounds its traffic.
};

// [declaration_source] -------------------------------------------------------

/// What a follower asks.
struct follow_request
{
    std::string name;             ///< The follower's peer name.
    state::log_index applied = 0; ///< What it has; 0: nothing.

    bool operator==(const follow_request&) const = default;
};

/// What a follower gets.
struct follow_update
{
    state::log_index source_applied = 0;
    std::optional<state::declaration_delta> delta; ///< None: nothing newer.

    bool operator==(const follow_update&) const = default;
};

/// An update for one follower.
struct follow_push
{
    std::string to;
    follow_update update;
};

/// Serves followers from declarations that its owner holds.
class declaration_source
{
public:
    explicit declaration_source(learning_settings settings);
    declaration_source(declaration_source&&) noexcept;
    declaration_source& operator=(declaration_source&&) noexcept;
    ~declaration_source();

    /// Answers a follower and remembers it.
    [[nodiscard]] follow_update answer(transport::monotonic_time now,
                                       const state::declarations& own,
                                       const follow_request& request);

    /// Tells that the declarations have changed, and sends what is due.
    [[nodiscard]] std::vector<follow_push> push(transport::monotonic_time now,
                                                const state::declarations& own);

    /// @return When push() has more to send; none: nothing waits.
    [[nodiscard]] std::optional<transport::monotonic_time> next_push() const;

    /// @return Followers now.
    [[nodiscard]] std::size_t followers() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// [learner_events] -----------------------------------------------------------

/// What a learner knows of its surroundings when time passes.
struct learning_surroundings
{
    std::vector<std::string> sources;   ///< By preference.
    state::log_index highest_heard = 0; ///< By gossip.
};

/// How sure an entry is of its configuration.
enum class learning_phase : std::uint8_t
{
    waiting, ///< Nothing in force yet.
    current, ///< A source answers.
    behind   ///< On the best that it has: no source answers, or none is at
             ///< the highest index heard.
};

/// Ask a source.
struct learner_pull
{
    std::string to;
    follow_request request;
};

/// What to do.
struct learner_actions
{
    std::optional<learner_pull> pull; ///< Then answered() or failed().
    bool publish = false;             ///< declarations() have changed.
};

// [learner] ------------------------------------------------------------------

/// Follows the declarations; used by one thread.
class learner
{
public:
    /// @param name This entry's peer name.
    learner(std::string name, learning_settings settings,
            transport::monotonic_time now);
    learner(learner&&) noexcept;
    learner& operator=(learner&&) noexcept;
    ~learner();

    /// Does what is due; call it at least every retry_wait.
    [[nodiscard]] learner_actions
    tick(transport::monotonic_time now,
         const learning_surroundings& surroundings);

    /// Takes the answer to a pull.
    [[nodiscard]] learner_actions answered(transport::monotonic_time now,
                                           std::string_view from,
                                           const follow_update& update);

    /// Takes a pushed update, from whoever it comes.
    [[nodiscard]] learner_actions pushed(transport::monotonic_time now,
                                         const follow_update& update);

    /// Tells that a source did not answer.
    void failed(transport::monotonic_time now, std::string_view from);

    /// @return What is in force.
    [[nodiscard]] const state::declarations& declarations() const noexcept;

    [[nodiscard]] learning_phase phase() const noexcept;

    /// @return The source that answered last; empty: none.
    [[nodiscard]] const std::string& source() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// [source_choice] ------------------------------------------------------------

/// A process that could be a source.
struct source_candidate
{
    std::string name;
    std::string failure_domain;
    bool is_replica = false;
};

/// Orders the sources of an entry. In a small domain everyone follows the
/// control replicas; in a large one some relays do, so many that each has few
/// followers, and the others follow the relays. Which ones is drawn by a hash that all members agree on.
///
/// @param self Name of the entry.
/// @param failure_domain Of the entry.
/// @param usable Members that may be asked, this entry included or not.
[[nodiscard]] std::vector<std::string>
choose_sources(const learning_settings& settings, std::string_view self,
               std::string_view failure_domain,
               const std::vector<source_candidate>& usable);

// [encoding] -----------------------------------------------------------------

[[nodiscard]] std::string encode(const follow_request& value);
[[nodiscard]] transport::result<follow_request>
decode_follow_request(std::string_view bytes);
[[nodiscard]] std::string encode(const follow_update& value);
[[nodiscard]] transport::result<follow_update>
decode_follow_update(std::string_view bytes);

} // namespace hyssopdeal::coordination

#endif
