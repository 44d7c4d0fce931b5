#ifndef HYSSOPDEAL_TRANSPORT_RCU_CELL_HPP
#define HYSSOPDEAL_TRANSPORT_RCU_CELL_HPP

/// @file
/// A value that many threads read without a lock while one replaces it. All
/// read-copy-update of the project goes through this wrapper, which also tells
/// the thread sanitizer of the orderings that it cannot see.
///
/// Index: [detail] [rcu_cell]

#include <memory>
#include <utility>

namespace hyssopdeal::transport
{

// [detail] -------------------------------------------------------------------

namespace detail
{

/// Registers the calling thread, enters a read section, leaves it at the end.
class rcu_read_section
{
public:
    rcu_read_section() noexcept;
    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
    ~rcu_read_section();
};

[[nodiscard]] void* rcu_load(void* const& slot) noexcept;
[[nodiscard]] void* rcu_exchange(void*& slot, void* value) noexcept;
void rcu_wait_for_readers() noexcept;

} // namespace detail

// [rcu_cell] -----------------------------------------------------------------

/// Holds one immutable value. Any thread reads; writers take turns by their
/// own means (one owner thread in this project).
template <class T>
class rcu_cell
{
public:
    explicit rcu_cell(T value)
        : slot_(std::make_unique<T>(std::move(value)).release())
    {}

    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    ~rcu_cell()
    {
        std::unique_ptr<T>(static_cast<T*>(slot_));
    }

    /// Replaces the value; returns when no reader can see the old one.
    void publish(T value)
    {
        auto* next = std::make_unique<T>(std::move(value)).release();
        std::unique_ptr<T> old{
            static_cast<T*>(detail::rcu_exchange(slot_, next))};
        detail::rcu_wait_for_readers();
    }

    /// Calls a function with the value; it must not keep a reference to it and
    /// must not block.
    ///
    /// @return What the function returns.
    template <class Reader>
    auto read(Reader&& reader) const
    {
        const detail::rcu_read_section section;
        return std::forward<Reader>(reader)(
            *static_cast<const T*>(detail::rcu_load(slot_)));
    }

private:
    void* slot_; // written by publish() only
};

} // namespace hyssopdeal::transport

#endif
