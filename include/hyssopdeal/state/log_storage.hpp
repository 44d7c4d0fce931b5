#ifndef HYSSOPDEAL_STATE_LOG_STORAGE_HPP
#define HYSSOPDEAL_STATE_LOG_STORAGE_HPP

/// @file
/// The log, term, vote and snapshots of one replica on its disk.
///
/// Index: [settings] [log_storage] [opening] [writing]
///
/// A folder holds segments `log-FIRST`, one `snapshot-INDEX` and the file
/// `term`. Files that are replaced are written aside, synced and renamed. After
/// the first error nothing is written any more: a failed sync may have lost
/// what it was to sync, so that it is never tried again. Only a full disk is no
/// such error: what it left is removed, and the same batch may be written again.

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <hyssopdeal/state/files.hpp>
#include <hyssopdeal/state/log_format.hpp>
#include <hyssopdeal/state/log_record.hpp>

namespace hyssopdeal::state
{

// [settings] -----------------------------------------------------------------

/// Sizes of the files.
struct log_storage_settings
{
    /// A new segment from there. What is cut off stays until its segment holds
    /// nothing else.
    std::uint64_t segment_bytes = 4'194'304;
};

// [log_storage] --------------------------------------------------------------

/// Writes batches and reads them back at start; used by one thread.
template <file_access Files>
class log_storage
{
public:
    explicit log_storage(Files files, log_storage_settings settings = {})
        : files_(std::move(files)),
          settings_(settings)
    {}

    /// Reads the folder, cuts a torn tail off, removes left-overs.
    ///
    /// @return What the disk holds; `corrupt` with file and offset when synced
    ///     data is damaged, and then nothing was changed.
    [[nodiscard]] transport::result<recovered_state> open();

    /// Reads the folder and changes nothing.
    [[nodiscard]] transport::result<recovered_state> verify();

    /// Writes a batch and syncs it.
    ///
    /// @return Done; `storage_full`, and the batch may be written again; or the
    ///     first other error of this storage for ever after.
    [[nodiscard]] transport::result<void> write(const persist_request& request);

    [[nodiscard]] Files& files() noexcept
    {
        return files_;
    }

private:
    struct segment
    {
        std::string name;
        log_index first = 0;
        std::vector<std::uint64_t> offsets; ///< Of each record.
        std::uint64_t bytes = 0;

        [[nodiscard]] log_index end() const
        {
            return first + offsets.size();
        }
    };

    struct folder_content
    {
        recovered_state state;
        std::vector<segment> segments;
        std::vector<std::string> left_overs;
        bool drop_log = false; ///< A snapshot replaces all of it.
    };

    transport::result<folder_content> read_folder();
    transport::result<void> read_segments(folder_content& content,
                                          std::vector<log_index> firsts);
    void settle_snapshot(folder_content& content);
    transport::result<void> write_batch(const persist_request& request);
    transport::result<void> replace(std::string_view aside,
                                    std::string_view name,
                                    const std::string& bytes);
    transport::result<void> store_snapshot(const snapshot& snap);
    transport::result<void> truncate_from(log_index index);
    transport::result<void> append(const std::vector<log_record>& records);
    transport::result<void> take_back(bool created,
                                      transport::result<void> failed);
    transport::result<void> remove_partial(std::string_view name,
                                           transport::result<void> failed);
    transport::result<void> cut(log_index index);

    Files files_;
    log_storage_settings settings_;
    std::vector<segment> segments_;
    std::string snapshot_name_;
    log_index durable_ = 0;
    transport::result<void> broken_;
};

// [opening] ------------------------------------------------------------------

template <file_access Files>
transport::result<void>
log_storage<Files>::read_segments(folder_content& content,
                                  std::vector<log_index> firsts)
{
    std::sort(firsts.begin(), firsts.end());
    for (std::size_t at = 0; at < firsts.size(); ++at)
    {
        const auto name = log_format::segment_name(firsts[at]);
        const auto bytes = files_.read(name);
        if (!bytes)
        {
            return tl::make_unexpected(bytes.error());
        }
        if (!content.segments.empty() &&
            content.segments.back().end() != firsts[at])
        {
            return transport::fail(transport::reason::corrupt,
                                   "Records are missing before " + name +
                                       " at offset 0.");
        }
        const auto position = at + 1 == firsts.size()
                                  ? log_format::segment_position::last
                                  : log_format::segment_position::inner;
        auto decoded =
            log_format::decode_segment(name, *bytes, firsts[at], position);
        if (!decoded)
        {
            return tl::make_unexpected(decoded.error());
        }
        segment item{name, firsts[at], {}, decoded->good_bytes};
        for (auto& place : decoded->records)
        {
            item.offsets.push_back(place.offset);
            content.state.records.push_back(std::move(place.record));
        }
        content.state.torn_bytes += decoded->torn_bytes;
        content.segments.push_back(std::move(item));
    }
    return {};
}

/// Records up to the snapshot go; all of them when they do not lead to it.
template <file_access Files>
void log_storage<Files>::settle_snapshot(folder_content& content)
{
    auto& records = content.state.records;
    const auto& snap = content.state.snap;
    if (records.empty() || snap.index == 0)
    {
        return;
    }
    const log_index first = records.front().index;
    const log_index last = records.back().index;
    const bool follows = first == snap.index + 1;
    const bool holds = first <= snap.index && last >= snap.index &&
                       records[snap.index - first].term == snap.term;
    if (!follows && !holds)
    {
        content.drop_log = true;
        records.clear();
        return;
    }
    records.erase(records.begin(),
                  records.begin() +
                      static_cast<std::ptrdiff_t>(snap.index + 1 - first));
}

template <file_access Files>
transport::result<typename log_storage<Files>::folder_content>
log_storage<Files>::read_folder()
{
    const auto names = files_.list();
    if (!names)
    {
        return tl::make_unexpected(names.error());
    }
    folder_content content;
    std::vector<log_index> firsts;
    log_index snapshot_index = 0;
    bool has_hard_state = false;
    for (const auto& name : *names)
    {
        has_hard_state = has_hard_state || name == log_format::hard_state_name;
        if (const auto first = log_format::index_in(name, "log-"))
        {
            firsts.push_back(*first);
        }
        if (const auto index = log_format::index_in(name, "snapshot-"))
        {
            snapshot_index = std::max(snapshot_index, *index);
        }
        if (name == log_format::hard_state_aside ||
            name == log_format::snapshot_aside)
        {
            content.left_overs.push_back(name);
        }
    }
    for (const auto& name : *names)
    {
        const auto index = log_format::index_in(name, "snapshot-");
        if (index && *index < snapshot_index)
        {
            content.left_overs.push_back(name);
        }
    }
    if (has_hard_state)
    {
        const auto bytes = files_.read(log_format::hard_state_name);
        if (!bytes)
        {
            return tl::make_unexpected(bytes.error());
        }
        auto hard = log_format::decode_hard_state(*bytes);
        if (!hard)
        {
            return tl::make_unexpected(hard.error());
        }
        content.state.hard = *hard;
    }
    else if (!firsts.empty() || snapshot_index != 0)
    {
        return transport::fail(transport::reason::corrupt,
                               "The file term is missing beside a log.");
    }
    if (snapshot_index != 0)
    {
        const auto name = log_format::snapshot_name(snapshot_index);
        const auto bytes = files_.read(name);
        if (!bytes)
        {
            return tl::make_unexpected(bytes.error());
        }
        auto snap = log_format::decode_snapshot(name, *bytes);
        if (!snap)
        {
            return tl::make_unexpected(snap.error());
        }
        content.state.snap = std::move(*snap);
    }
    const auto read = read_segments(content, std::move(firsts));
    if (!read)
    {
        return tl::make_unexpected(read.error());
    }
    settle_snapshot(content);
    const auto& records = content.state.records;
    if (!records.empty() &&
        records.front().index != content.state.snap.index + 1)
    {
        return transport::fail(transport::reason::corrupt,
                               "Records are missing before " +
                                   content.segments.front().name +
                                   " at offset 0.");
    }
    return content;
}

template <file_access Files>
transport::result<recovered_state> log_storage<Files>::verify()
{
    auto content = read_folder();
    if (!content)
    {
        return tl::make_unexpected(content.error());
    }
    return std::move(content->state);
}

template <file_access Files>
transport::result<recovered_state> log_storage<Files>::open()
{
    auto content = read_folder();
    if (!content)
    {
        return tl::make_unexpected(content.error());
    }
    segments_ = std::move(content->segments);
    if (content->state.snap.index != 0)
    {
        snapshot_name_ = log_format::snapshot_name(content->state.snap.index);
    }
    transport::result<void> done;
    for (const auto& name : content->left_overs)
    {
        done = done ? files_.remove(name) : done;
    }
    if (!segments_.empty() && segments_.back().offsets.empty())
    {
        done = done ? files_.remove(segments_.back().name) : done;
        segments_.pop_back();
    }
    if (content->drop_log && !segments_.empty())
    {
        done = done ? truncate_from(segments_.front().first) : done;
    }
    else if (!segments_.empty())
    {
        // Synced also without a torn tail: the crash may have come between the
        // write and its sync, and what is read here will be counted on.
        const auto& last = segments_.back();
        done = done ? files_.truncate(last.name, last.bytes) : done;
        done = done ? files_.sync(last.name) : done;
    }
    done = done ? files_.sync_folder() : done;
    if (!done)
    {
        return tl::make_unexpected(done.error());
    }
    durable_ = segments_.empty() ? content->state.snap.index
                                 : segments_.back().end() - 1;
    return std::move(content->state);
}

// [writing] ------------------------------------------------------------------

template <file_access Files>
transport::result<void>
log_storage<Files>::write(const persist_request& request)
{
    if (!broken_)
    {
        return broken_;
    }
    auto done = write_batch(request);
    if (!done && done.error().code != transport::reason::storage_full)
    {
        broken_ = done;
    }
    return done;
}

template <file_access Files>
transport::result<void>
log_storage<Files>::write_batch(const persist_request& request)
{
    transport::result<void> done;
    if (request.hard)
    {
        done =
            replace(log_format::hard_state_aside, log_format::hard_state_name,
                    log_format::encode_hard_state(*request.hard));
    }
    if (done && request.snap)
    {
        done = store_snapshot(*request.snap);
    }
    if (done && request.truncate)
    {
        done = truncate_from(*request.truncate);
    }
    // Before the append, for which it may make room.
    if (done && request.cut)
    {
        done = cut(*request.cut);
    }
    if (done && !request.records.empty())
    {
        done = append(request.records);
    }
    return done;
}

template <file_access Files>
transport::result<void> log_storage<Files>::replace(std::string_view aside,
                                                    std::string_view name,
                                                    const std::string& bytes)
{
    auto done = files_.create(aside, bytes);
    done = done ? files_.sync(aside) : done;
    if (!done)
    {
        return remove_partial(aside, std::move(done));
    }
    done = files_.rename(aside, name);
    return done ? files_.sync_folder() : done;
}

template <file_access Files>
transport::result<void> log_storage<Files>::store_snapshot(const snapshot& snap)
{
    const auto name = log_format::snapshot_name(snap.index);
    auto done = replace(log_format::snapshot_aside, name,
                        log_format::encode_snapshot(snap));
    if (done && !snapshot_name_.empty() && snapshot_name_ != name)
    {
        done = files_.remove(snapshot_name_);
    }
    if (done)
    {
        snapshot_name_ = name;
    }
    return done;
}

/// Later segments go first, so that a crash leaves the log without a gap.
template <file_access Files>
transport::result<void> log_storage<Files>::truncate_from(log_index index)
{
    transport::result<void> done;
    while (done && !segments_.empty() && segments_.back().first >= index)
    {
        done = files_.remove(segments_.back().name);
        if (done)
        {
            segments_.pop_back();
            done = files_.sync_folder();
        }
    }
    if (done && !segments_.empty() && segments_.back().end() > index)
    {
        auto& last = segments_.back();
        const auto kept = static_cast<std::size_t>(index - last.first);
        last.bytes = last.offsets[kept];
        last.offsets.resize(kept);
        done = files_.truncate(last.name, last.bytes);
        done = done ? files_.sync(last.name) : done;
    }
    durable_ = std::min(durable_, index - 1);
    return done;
}

template <file_access Files>
transport::result<void>
log_storage<Files>::append(const std::vector<log_record>& records)
{
    const bool roll =
        segments_.empty() || segments_.back().bytes >= settings_.segment_bytes;
    if (roll)
    {
        const log_index first = records.front().index;
        segments_.push_back({log_format::segment_name(first), first, {}, 0});
    }
    auto& last = segments_.back();
    std::string bytes;
    std::vector<std::uint64_t> offsets;
    for (const auto& record : records)
    {
        offsets.push_back(last.bytes + bytes.size());
        bytes += log_format::encode_record(record, durable_);
    }
    auto done = roll ? files_.create(last.name, bytes)
                     : files_.append(last.name, bytes);
    done = done ? files_.sync(last.name) : done;
    done = done && roll ? files_.sync_folder() : done;
    if (!done)
    {
        return take_back(roll, std::move(done));
    }
    last.offsets.insert(last.offsets.end(), offsets.begin(), offsets.end());
    last.bytes += bytes.size();
    durable_ = records.back().index;
    return done;
}

/// Removes what a failed append left, so that it can be tried again. The file
/// was synced before, so a failed sync can have lost only what is written anew.
///
/// @return The failure of the append, or a worse one.
template <file_access Files>
transport::result<void>
log_storage<Files>::take_back(bool created, transport::result<void> failed)
{
    if (failed.error().code != transport::reason::storage_full)
    {
        return failed;
    }
    auto& last = segments_.back();
    if (!created)
    {
        const auto cut = files_.truncate(last.name, last.bytes);
        return cut ? failed : cut;
    }
    const auto name = last.name;
    segments_.pop_back();
    return remove_partial(name, std::move(failed));
}

/// Removes a file whose creation failed for want of room, as it may take the
/// room that other writes need.
///
/// @return The failure of the creation, or a worse one.
template <file_access Files>
transport::result<void>
log_storage<Files>::remove_partial(std::string_view name,
                                   transport::result<void> failed)
{
    if (failed.error().code != transport::reason::storage_full)
    {
        return failed;
    }
    const auto names = files_.list();
    if (!names)
    {
        return tl::make_unexpected(names.error());
    }
    const bool left =
        std::find(names->begin(), names->end(), name) != names->end();
    const auto removed = left ? files_.remove(name) : transport::result<void>{};
    return removed ? failed : removed;
}

template <file_access Files>
transport::result<void> log_storage<Files>::cut(log_index index)
{
    transport::result<void> done;
    while (done && segments_.size() > 1 && segments_.front().end() <= index + 1)
    {
        done = files_.remove(segments_.front().name);
        if (done)
        {
            segments_.erase(segments_.begin());
        }
    }
    return done;
}

} // namespace hyssopdeal::state

#endif
