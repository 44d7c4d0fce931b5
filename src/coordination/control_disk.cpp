/// @file
/// The thread that writes a replica's batches to its disk.

#include "coordination/control_disk.hpp"

#include <chrono>
#include <utility>

namespace hyssopdeal::coordination
{

namespace
{

// Room comes back when an operator or another process makes it; a tenth of
// the time in which a replica without leader asks who leads.
constexpr std::chrono::milliseconds retry_interval{150};

} // namespace

control_disk::control_disk(storage_type storage, done_function done,
                           room_function on_room)
    : storage_(std::move(storage)),
      done_(std::move(done)),
      on_room_(std::move(on_room)),
      thread_([this] { run(); })
{}

control_disk::~control_disk()
{
    {
        const std::lock_guard lock{mutex_};
        stop_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void control_disk::write(state::persist_request request)
{
    {
        const std::lock_guard lock{mutex_};
        next_ = std::move(request);
    }
    wake_.notify_one();
}

void control_disk::run()
{
    std::unique_lock lock{mutex_};
    while (true)
    {
        wake_.wait(lock, [this] { return stop_ || next_; });
        if (!next_)
        {
            return;
        }
        const auto request = *std::exchange(next_, std::nullopt);
        lock.unlock();
        auto written = store(request);
        done_(request.number, std::move(written));
        lock.lock();
    }
}

/// For the replica a full disk is a slow one: nothing is acknowledged before
/// it is stored, and all that needs no disk goes on.
transport::result<void>
control_disk::store(const state::persist_request& request)
{
    const auto is_full = [](const transport::result<void>& done) {
        return !done && done.error().code == transport::reason::storage_full;
    };
    auto written = storage_.write(request);
    if (!is_full(written))
    {
        return written;
    }
    on_room_(true, written.error().text);
    while (is_full(written))
    {
        std::unique_lock lock{mutex_};
        if (wake_.wait_for(lock, retry_interval, [this] { return stop_; }))
        {
            return written;
        }
        lock.unlock();
        written = storage_.write(request);
    }
    if (written)
    {
        on_room_(false, {});
    }
    return written;
}

} // namespace hyssopdeal::coordination
