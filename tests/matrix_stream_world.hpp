#ifndef HYSSOPDEAL_TESTS_MATRIX_STREAM_WORLD_HPP
#define HYSSOPDEAL_TESTS_MATRIX_STREAM_WORLD_HPP

/// @file
/// One streamed answer with its caller, three entries and three engines, as
/// the sessions `stream`, `reclaim` and `drain` play it.
///
/// Index: [chained_token] [sim_engine] [sim_entry] [sim_caller]
///        [stream_world]
///
/// Engines draw other tokens at each attempt, but every token names the hash
/// of all text before it: an answer that was put together from texts which do
/// not belong together is found by its text alone.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/drain_entry.hpp>
#include <hyssopdeal/coordination/stream_copies.hpp>
#include <hyssopdeal/coordination/stream_record.hpp>

#include "matrix_world.hpp"

namespace hyssopdeal::tests::matrix
{

// [chained_token] ------------------------------------------------------------

/// @return The token that follows a text.
[[nodiscard]] std::string chained_token(std::string_view version,
                                        std::uint64_t salt,
                                        std::string_view before);

/// @return Why a text is not the beginning of an answer of one version; empty:
/// it is.
[[nodiscard]] std::string answer_mistake(std::string_view text);

/// @return The number of tokens of a text.
[[nodiscard]] std::uint64_t count_tokens(std::string_view text);

// [sim_engine] ---------------------------------------------------------------

/// One generation on an engine.
struct sim_attempt
{
    std::string stream;
    std::string text; ///< Prefix and tokens so far.
    std::vector<coordination::engine_event> events;
    std::size_t reader = 0; ///< Entry that reads.
};

/// An engine that goes on with attempts and forgets them when it dies.
struct sim_engine
{
    std::size_t node = 0;
    std::string version;
    std::map<coordination::attempt_id, sim_attempt> attempts;
};

// [sim_entry] ----------------------------------------------------------------

/// A stream that an entry owns.
struct owned_stream
{
    coordination::stream_record record;
    std::size_t engine = 0;        ///< Of the current attempt.
    std::size_t holder = 0;        ///< Entry that holds the copy.
    std::uint64_t copies_sent = 0; ///< To find lost acknowledgements.
    std::uint64_t copies_heard = 0;
    std::uint64_t resumes = 0; ///< To find lost answers of engines.
    std::optional<std::size_t> taken_from{}; ///< Leaving owner to be told once
                                             ///< this one has a copy elsewhere.
    bool safe_elsewhere = false; ///< The next owner has a copy elsewhere.
};

/// An entry instance; all in memory.
struct sim_entry
{
    std::size_t node = 0;
    std::string name;
    coordination::stream_copies copies;
    std::map<std::string, owned_stream> streams;
    std::optional<coordination::drain_entry> drain;
    bool handed_over = false; ///< The drain ordered the hand-over.
    bool refuses_new = false;
};

// [sim_caller] ---------------------------------------------------------------

/// The caller of the one answer.
struct sim_caller
{
    std::size_t node = 0;
    std::string stream; ///< Empty: not accepted yet.
    std::string text;
    std::uint64_t last_event = 0;
    std::size_t entry = 0;        ///< Connected to.
    std::uint64_t connection = 0; ///< Number of the current one.
    transport::monotonic_time heard_at{};
    bool done = false;
    std::string failed; ///< Told that the stream cannot go on.
};

// [stream_world] -------------------------------------------------------------

/// Plays the session.
class stream_world
{
public:
    static constexpr std::uint64_t answer_tokens = 8;

    explicit stream_world(matrix_world& world);

    /// The caller asks; everything else follows.
    void open();

    /// An engine's instance will be reclaimed.
    void reclaim_engine(std::size_t engine, std::chrono::milliseconds notice);

    /// An entry instance is ordered to leave.
    void drain_entry(std::size_t entry);

    /// Checks the caller's answer.
    void check();

private:
    using attempt_id = coordination::attempt_id;

    // Engines.
    void start_attempt(std::size_t engine, attempt_id id,
                       const std::string& stream, std::string text,
                       std::size_t reader);
    void produce(std::size_t engine, attempt_id id);
    void send_event(std::size_t engine, attempt_id id, std::uint64_t sequence);
    void attach(std::size_t engine, attempt_id id, std::uint64_t from,
                std::size_t reader, const std::string& stream,
                std::uint64_t number);

    // Owners.
    void open_at(std::size_t entry, const std::string& stream,
                 std::uint64_t connection);
    void on_engine_event(std::size_t entry, const std::string& stream,
                         coordination::engine_event event);
    void pump(std::size_t entry, const std::string& stream);
    void perform(std::size_t entry, const std::string& stream,
                 const coordination::stream_action& action);
    void copy(std::size_t entry, const std::string& stream,
              const coordination::copy_events& order);
    void resume(std::size_t entry, const std::string& stream,
                const coordination::resume_stream& order);
    void deliver(std::size_t entry, const std::string& stream,
                 const coordination::deliver_events& order);
    void lose_holder(std::size_t entry, const std::string& stream);
    void choose_holder(std::size_t entry, const std::string& stream);
    void watch_engine(std::size_t entry, const std::string& stream,
                      std::size_t engine);
    void tick(std::size_t entry);
    void step_drain(std::size_t entry);
    void hand_over(std::size_t entry);
    void confirm_take_over(std::size_t entry, const std::string& stream);

    // Holders.
    void take_copy(std::size_t holder, std::size_t owner,
                   const coordination::stream_origin& origin,
                   coordination::owner_epoch epoch,
                   const coordination::copy_events& order,
                   const std::string& server,
                   std::vector<coordination::stream_event> events,
                   std::uint64_t number);
    bool take_over(std::size_t entry, const std::string& stream,
                   std::uint64_t last_event, bool caller_here);

    // The caller.
    void connect(std::size_t entry);
    void resume_at(std::size_t entry, const std::string& stream,
                   std::uint64_t last_event, std::uint64_t connection);
    void caller_hears(std::size_t entry, std::uint64_t connection,
                      const std::string& stream,
                      const std::vector<coordination::stream_event>& events);
    void refuse_caller(std::size_t entry, std::uint64_t connection);
    void watch_caller();

    void forget(std::size_t entry);
    [[nodiscard]] bool is_held(const std::string& stream);

    [[nodiscard]] attempt_id new_attempt();
    [[nodiscard]] std::size_t next_holder(std::size_t entry,
                                          std::size_t former) const;
    [[nodiscard]] std::size_t next_engine(std::size_t former) const;
    owned_stream* find(std::size_t entry, const std::string& stream);

    matrix_world& world_;
    std::vector<sim_engine> engines_;
    std::vector<sim_entry> entries_;
    sim_caller caller_;
    std::uint64_t attempts_ = 0;
    std::uint64_t opened_ = 0;
    std::size_t leaving_engine_ = ~std::size_t{0};
    std::set<std::string> lost_streams_; ///< All their copies' entries died.
    std::map<std::string, coordination::owner_epoch> newest_epoch_;
};

} // namespace hyssopdeal::tests::matrix

#endif
