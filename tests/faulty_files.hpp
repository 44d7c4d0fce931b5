#ifndef HYSSOPDEAL_TESTS_FAULTY_FILES_HPP
#define HYSSOPDEAL_TESTS_FAULTY_FILES_HPP

/// @file
/// Files in memory that lose what was not synced, and fail on demand.
///
/// Index: [faulty_disk] [faulty_files]

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/state/files.hpp>

namespace hyssopdeal::tests
{

// [faulty_disk] --------------------------------------------------------------

/// Thrown where the process dies.
struct crashed
{};

/// What one operation does.
enum class disk_fault
{
    none,
    crash_before,
    crash_after,
    error,     ///< Reported, nothing done (full disk, failed sync).
    torn_write ///< Half of the bytes are written, then the process dies.
};

/// One disk; lives longer than the process that uses it.
struct faulty_disk
{
    struct file
    {
        std::string now;    ///< As the process sees it.
        std::string synced; ///< As of the last sync.
    };
    using folder = std::map<std::string, std::shared_ptr<file>, std::less<>>;

    folder now;
    folder synced;
    std::uint64_t operations = 0;
    std::uint64_t syncs = 0;
    std::uint64_t fault_at = 0; ///< Operation number; 0: none.
    disk_fault fault = disk_fault::none;
    bool full = false; ///< Writes leave half of their bytes and fail.
    std::size_t capacity = std::numeric_limits<std::size_t>::max(); ///< Bytes.

    /// @return Bytes of all files.
    [[nodiscard]] std::size_t used() const
    {
        std::size_t bytes = 0;
        for (const auto& [name, item] : now)
        {
            bytes += item->now.size();
        }
        return bytes;
    }

    /// @param freed Bytes that are replaced by the write.
    /// @return How many of a write's bytes reach the disk.
    [[nodiscard]] std::size_t taken_of(std::size_t bytes,
                                       std::size_t freed = 0) const
    {
        const auto in_use = used() - freed;
        const auto room = capacity > in_use ? capacity - in_use : 0;
        return std::min(full ? bytes / 2 : bytes, room);
    }

    /// The process has died: what was not synced may be lost, in part.
    void crash(std::mt19937_64& random)
    {
        if (random() % 2 == 0)
        {
            now = synced;
        }
        for (auto& [name, item] : now)
        {
            const bool grew = item->now.starts_with(item->synced);
            const std::size_t extra =
                grew ? item->now.size() - item->synced.size() : 0;
            const std::size_t kept = extra == 0 ? 0 : random() % (extra + 1);
            auto after = item->synced;
            if (grew)
            {
                after = item->now.substr(0, item->synced.size() + kept);
            }
            if (kept > 0 && random() % 3 == 0)
            {
                after[after.size() - 1 - random() % kept] ^= 0x20;
            }
            item->now = after;
            item->synced = after;
        }
        synced = now;
        fault = disk_fault::none;
        fault_at = 0;
    }
};

// [faulty_files] -------------------------------------------------------------

/// Access to a faulty_disk, as log storage wants it.
class faulty_files
{
public:
    explicit faulty_files(std::shared_ptr<faulty_disk> disk)
        : disk_(std::move(disk))
    {}

    transport::result<std::vector<std::string>> list()
    {
        std::vector<std::string> names;
        for (const auto& [name, item] : disk_->now)
        {
            names.push_back(name);
        }
        return names;
    }

    transport::result<std::string> read(std::string_view name)
    {
        const auto found = disk_->now.find(name);
        if (found == disk_->now.end())
        {
            return missing();
        }
        return found->second->now;
    }

    transport::result<void> create(std::string_view name,
                                   std::string_view bytes)
    {
        const auto old = disk_->now.find(name);
        const auto freed =
            old == disk_->now.end() ? 0 : old->second->now.size();
        const auto taken = disk_->taken_of(bytes.size(), freed);
        return run(
            [&](bool half) {
                auto made = std::make_shared<faulty_disk::file>();
                made->now = bytes.substr(0, half ? bytes.size() / 2 : taken);
                disk_->now.insert_or_assign(std::string{name}, made);
            },
            disk_->full || taken < bytes.size());
    }

    transport::result<void> append(std::string_view name,
                                   std::string_view bytes)
    {
        const auto taken = disk_->taken_of(bytes.size());
        return run(
            [&](bool half) {
                disk_->now.at(std::string{name})->now +=
                    bytes.substr(0, half ? bytes.size() / 2 : taken);
            },
            disk_->full || taken < bytes.size());
    }

    transport::result<void> truncate(std::string_view name, std::uint64_t size)
    {
        return run(
            [&](bool) { disk_->now.at(std::string{name})->now.resize(size); });
    }

    transport::result<void> sync(std::string_view name)
    {
        ++disk_->syncs;
        return run([&](bool) {
            auto& item = *disk_->now.at(std::string{name});
            item.synced = item.now;
        });
    }

    transport::result<void> rename(std::string_view from, std::string_view to)
    {
        return run([&](bool) {
            auto item = disk_->now.at(std::string{from});
            disk_->now.erase(std::string{from});
            disk_->now.insert_or_assign(std::string{to}, item);
        });
    }

    transport::result<void> remove(std::string_view name)
    {
        return run([&](bool) { disk_->now.erase(std::string{name}); });
    }

    transport::result<void> sync_folder()
    {
        ++disk_->syncs;
        return run([&](bool) { disk_->synced = disk_->now; });
    }

private:
    static tl::unexpected<transport::failure> missing()
    {
        return transport::fail(transport::reason::storage_failed,
                               "No such file.");
    }

    template <class Operation>
    transport::result<void> run(Operation operation, bool full = false)
    {
        ++disk_->operations;
        const bool now = disk_->operations == disk_->fault_at;
        const auto fault = now ? disk_->fault : disk_fault::none;
        if (fault == disk_fault::crash_before)
        {
            throw crashed{};
        }
        if (fault == disk_fault::error)
        {
            return missing();
        }
        operation(fault == disk_fault::torn_write);
        if (fault == disk_fault::crash_after || fault == disk_fault::torn_write)
        {
            throw crashed{};
        }
        if (full)
        {
            return transport::fail(transport::reason::storage_full, "No room.");
        }
        return {};
    }

    std::shared_ptr<faulty_disk> disk_;
};

static_assert(state::file_access<faulty_files>);

} // namespace hyssopdeal::tests

#endif
