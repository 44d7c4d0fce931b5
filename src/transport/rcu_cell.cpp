#include <hyssopdeal/transport/rcu_cell.hpp>

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace hyssopdeal::transport::detail
{

namespace
{

/// Registers a thread with liburcu for the thread's lifetime.
struct thread_registration
{
    thread_registration() noexcept
    {
        urcu_memb_register_thread();
    }

    thread_registration(const thread_registration&) = delete;
    thread_registration& operator=(const thread_registration&) = delete;

    ~thread_registration()
    {
        urcu_memb_unregister_thread();
    }
};

#if defined(__SANITIZE_THREAD__)
char grace_period_token;

void tsan_acquire(void* address) noexcept
{
    __tsan_acquire(address);
}

void tsan_release(void* address) noexcept
{
    __tsan_release(address);
}

void* token() noexcept
{
    return &grace_period_token;
}
#else
void tsan_acquire(void* /*address*/) noexcept {}
void tsan_release(void* /*address*/) noexcept {}

void* token() noexcept
{
    return nullptr;
}
#endif

} // namespace

rcu_read_section::rcu_read_section() noexcept
{
    static thread_local const thread_registration registration;
    urcu_memb_read_lock();
}

rcu_read_section::~rcu_read_section()
{
    tsan_release(token());
    urcu_memb_read_unlock();
}

void* rcu_load(void* const& slot) noexcept
{
    void* value = rcu_dereference(slot);
    tsan_acquire(value);
    return value;
}

void* rcu_exchange(void*& slot, void* value) noexcept
{
    tsan_release(value);
    return rcu_xchg_pointer(&slot, value);
}

void rcu_wait_for_readers() noexcept
{
    urcu_memb_synchronize_rcu();
    tsan_acquire(token());
}

} // namespace hyssopdeal::transport::detail
