#ifndef HYSSOPDEAL_TESTS_STREAM_WORLD_HPP
#define HYSSOPDEAL_TESTS_STREAM_WORLD_HPP

/// @file
/// One stream between a caller, three entries and three engines, on virtual
/// time, with faults at any step: drives stream_record, stream_copies and
/// holder_choice as an entry does.
///
/// Index: [stream_fault] [stream_world]

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/holder_choice.hpp>
#include <hyssopdeal/coordination/stream_copies.hpp>
#include <hyssopdeal/coordination/stream_record.hpp>

namespace hyssopdeal::tests
{

// [stream_fault] -------------------------------------------------------------

/// What goes wrong.
enum class stream_fault : std::uint8_t
{
    none,
    engine_dies,
    engine_stalls,
    engine_answers_late,
    engine_duplicates,
    engine_reorders,
    engine_answers_wrong_attempt,
    engine_cuts_without_end_mark,
    owner_dies,
    holder_dies,
    holder_is_cut_off,
    notice_with_time_for_kv,
    notice_too_short,
    false_notice,
    caller_returns_elsewhere,
    last
};

/// @return The fault's name.
[[nodiscard]] std::string to_string(stream_fault fault);

// [stream_world] -------------------------------------------------------------

/// Runs one stream to its end.
class stream_world
{
public:
    explicit stream_world(std::uint64_t seed);

    /// Lets a fault happen at a time, counted from the start.
    void inject(std::chrono::milliseconds at, stream_fault fault);

    /// Runs until the caller has its answer or a minute has passed.
    void run();

    /// @return What is wrong with the outcome; empty when nothing is.
    [[nodiscard]] std::string defect() const;

    /// @return Copies and bytes that are left after the retention.
    [[nodiscard]] std::size_t copies_left();

    /// @return Tokens that were prefilled again.
    [[nodiscard]] double recomputed_tokens() const noexcept;

    /// @return When the caller had its whole answer.
    [[nodiscard]] std::chrono::milliseconds duration() const noexcept;

private:
    struct attempt
    {
        coordination::attempt_id id;
        std::uint64_t base = 0;     ///< Tokens that it was given.
        std::uint64_t produced = 0; ///< Events since.
        std::uint64_t next_sent = 1;
        std::optional<std::size_t> reader; ///< Entry that reads.
        std::chrono::milliseconds unread{};
        std::chrono::milliseconds starts_at{};
    };

    struct engine
    {
        bool alive = true;
        bool leaving = false;
        std::chrono::milliseconds stalled_until{};
        std::chrono::milliseconds late_until{};
        std::vector<attempt> attempts;
        stream_fault next_event = stream_fault::none;
    };

    struct entry
    {
        std::string name;
        std::string failure_domain;
        bool alive = true;
        coordination::stream_copies copies;
        std::unique_ptr<coordination::stream_record> record;
        std::string holder;
        std::vector<std::string> avoid;
        std::uint64_t holder_generation = 0;
    };

    struct scheduled
    {
        std::chrono::milliseconds at;
        std::function<void()> run;
    };

    [[nodiscard]] transport::monotonic_time clock() const;
    coordination::attempt_id new_attempt();
    void later(std::chrono::milliseconds delay, std::function<void()> run);
    void run_due();
    void step_engine(std::size_t number);
    void send_event(std::size_t number, attempt& running,
                    std::uint64_t sequence);
    void drop_reader(std::size_t number);
    attempt* find_attempt(coordination::attempt_id id, std::size_t* number);
    void apply(std::size_t number);
    void resume(std::size_t number, const coordination::resume_stream& order);
    void prefill(std::size_t number, const coordination::resume_stream& order,
                 std::chrono::milliseconds delay);
    void cancel(coordination::attempt_id id);
    void choose_holder(std::size_t number);
    void copy(std::size_t number, const coordination::copy_events& batch);
    void answer_copy(std::size_t number, std::uint64_t generation,
                     const transport::result<coordination::copy_answer>& got);
    void lose_holder(std::size_t number, std::uint64_t generation);
    void deliver(std::size_t number, const coordination::deliver_events& part);
    void connect(std::size_t number);
    void disconnect();
    bool take_over(std::size_t number);
    void own(std::size_t number, coordination::stream_copy copy);
    entry* find_entry(const std::string& name);
    [[nodiscard]] std::optional<std::size_t> owner() const;
    [[nodiscard]] std::optional<std::size_t> producing_engine();
    void happen(stream_fault fault);
    void happen_to_engine(stream_fault fault);
    void kill_entry(std::size_t number);
    void notice(std::chrono::milliseconds time,
                std::chrono::milliseconds kv_time);
    [[nodiscard]] static std::string token(std::uint64_t number,
                                           coordination::attempt_id id);

    std::mt19937_64 random_;
    std::chrono::milliseconds now_{0};
    std::vector<scheduled> queue_;
    std::vector<engine> engines_;
    std::vector<entry> entries_;
    bool cut_[3][3] = {};
    std::optional<std::size_t> connected_;
    std::uint64_t last_event_ = 0;
    std::string received_;
    bool whole_ = false;
    std::string defect_;
    double recomputed_ = 0;
};

} // namespace hyssopdeal::tests

#endif
