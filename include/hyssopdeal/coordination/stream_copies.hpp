#ifndef HYSSOPDEAL_COORDINATION_STREAM_COPIES_HPP
#define HYSSOPDEAL_COORDINATION_STREAM_COPIES_HPP

/// @file
/// Copies of other entries' streams on the entry that holds them, in bounded
/// memory, and who may take one over.
///
/// Index: [settings] [stream_copy] [copied_batch] [answers] [stream_copies]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/stream_record.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Bounds of all copies on this node.
struct stream_copies_settings
{
    std::size_t max_bytes = 268'435'456;         ///< Origins and events.
    std::chrono::milliseconds retention{60'000}; ///< After the last word.
    std::chrono::milliseconds closed_retention{10'000}; ///< Once delivered.
};

// [stream_copy] --------------------------------------------------------------

/// A stream as copied so far.
struct stream_copy
{
    stream_origin origin;
    std::string owner;                ///< Entry instance that produces it.
    owner_epoch epoch = 0;            ///< Of that owner.
    attempt_id attempt;               ///< The owner's current one.
    std::string server;               ///< Where that attempt runs.
    std::uint64_t sequence = 0;       ///< Last engine sequence of that attempt.
    std::vector<stream_event> events; ///< From number 1, without gaps.
};

// [copied_batch] -------------------------------------------------------------

/// Events that an owner has copied, and where its attempt stands after them.
struct copied_batch
{
    attempt_id attempt;         ///< The owner's current one.
    std::string server;         ///< Where that attempt runs.
    std::uint64_t sequence = 0; ///< Last engine sequence, at event `up_to`.
    std::uint64_t up_to = 0;    ///< Number of the owner's last event so far;
                                ///< also when there are no events.
    std::vector<stream_event> events;
};

// [answers] ------------------------------------------------------------------

/// Answer to a copied batch.
struct copy_answer
{
    std::uint64_t copied_to = 0; ///< Last event that the holder has.
    owner_epoch epoch = 0;       ///< Newest that the holder knows.
};

// [stream_copies] ------------------------------------------------------------

/// All copies on this node; one thread at a time.
class stream_copies
{
public:
    explicit stream_copies(stream_copies_settings settings = {});
    stream_copies(stream_copies&&) noexcept;
    stream_copies& operator=(stream_copies&&) noexcept;
    ~stream_copies();

    /// Opens a copy or renews its owner; events so far are kept.
    ///
    /// @return overloaded when the memory for copies is used up;
    ///     revision_conflict for an older epoch.
    [[nodiscard]] transport::result<copy_answer>
    open(transport::monotonic_time now, const stream_origin& origin,
         std::string_view owner, owner_epoch epoch);

    /// Adds events; those already here are skipped, a gap is not filled: the
    /// answer says where to go on. Where an event differs from the one held,
    /// which an older owner produced, the newer owner's text replaces the rest.
    [[nodiscard]] transport::result<copy_answer>
    append(transport::monotonic_time now, std::string_view stream,
           owner_epoch epoch, copied_batch batch);

    /// Takes a stream over: raises its epoch, so that the old owner's copies
    /// are refused from now on.
    ///
    /// @return not_found, or forbidden for another organisation.
    [[nodiscard]] transport::result<stream_copy>
    take_over(transport::monotonic_time now, std::string_view stream,
              std::string_view organisation, std::string_view new_owner);

    /// The stream is delivered; its copy is forgotten soon.
    void close(std::string_view stream, owner_epoch epoch);

    /// Forgets copies beyond their retention.
    ///
    /// @return Copies whose attempts must be cancelled: nobody came for them.
    [[nodiscard]] std::vector<stream_copy>
    expire(transport::monotonic_time now);

    /// @return The copy, if it is here.
    [[nodiscard]] const stream_copy* find(std::string_view stream) const;

    /// @return Streams of an owner, as after its loss.
    [[nodiscard]] std::vector<std::string>
    streams_of(std::string_view owner) const;

    /// @return Bytes in use.
    [[nodiscard]] std::size_t bytes() const noexcept;

    /// @return Copies held.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
