#ifndef HYSSOPDEAL_SRC_COORDINATION_CONTROL_DISK_HPP
#define HYSSOPDEAL_SRC_COORDINATION_CONTROL_DISK_HPP

/// @file
/// The thread that writes a replica's batches to its disk. Internal.
///
/// Index: [control_disk]

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <hyssopdeal/state/log_storage.hpp>

namespace hyssopdeal::coordination
{

// [control_disk] -------------------------------------------------------------

/// Writes one batch at a time, as the replica hands them out.
class control_disk
{
public:
    using storage_type = state::log_storage<state::posix_files>;
    using done_function = std::function<void(std::uint64_t number,
                                             transport::result<void> written)>;

    /// @param done Called on the disk's thread.
    control_disk(storage_type storage, done_function done);
    control_disk(const control_disk&) = delete;
    control_disk& operator=(const control_disk&) = delete;
    ~control_disk();

    /// Hands a batch over; the one before must be done.
    void write(state::persist_request request);

private:
    void run();

    storage_type storage_;
    done_function done_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<state::persist_request> next_; // guarded by mutex_
    bool stop_ = false;                          // guarded by mutex_
    std::thread thread_;
};

} // namespace hyssopdeal::coordination

#endif
