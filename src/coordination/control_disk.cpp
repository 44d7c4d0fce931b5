/// @file
/// The thread that writes a replica's batches to its disk.

#include "coordination/control_disk.hpp"

#include <utility>

namespace hyssopdeal::coordination
{

control_disk::control_disk(storage_type storage, done_function done)
    : storage_(std::move(storage)),
      done_(std::move(done)),
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
        auto written = storage_.write(request);
        done_(request.number, std::move(written));
        lock.lock();
    }
}

} // namespace hyssopdeal::coordination
