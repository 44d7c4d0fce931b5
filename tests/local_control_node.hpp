#ifndef HYSSOPDEAL_TESTS_LOCAL_CONTROL_NODE_HPP
#define HYSSOPDEAL_TESTS_LOCAL_CONTROL_NODE_HPP

/// @file
/// A control node without a log: applies commands at once, leads as told.
///
/// Index: [local_control_node]

#include <utility>
#include <vector>

#include <hyssopdeal/coordination/control_node.hpp>
#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::tests
{

// [local_control_node] -------------------------------------------------------

/// For tests of what runs on the control leader.
class local_control_node final : public coordination::control_node
{
public:
    local_control_node(transport::event_loop& loop,
                       const transport::clock& clock)
        : loop_{loop},
          clock_{clock}
    {
        lead(1);
    }

    /// Leads a term for an hour from now.
    void lead(state::term_number term)
    {
        const auto now = clock_.monotonic_now();
        leads_ = {coordination::leadership_role::leader, term,
                  now + std::chrono::hours{1}, now, "self"};
    }

    state::command_result apply(state::command value)
    {
        value.at = clock_.wall_now();
        auto result = state_.apply({++index_, leads_.term}, value);
        for (const auto& handler : handlers_)
        {
            handler(index_, value, result);
        }
        return result;
    }

    void propose(state::command value, propose_callback on_result) override
    {
        loop_.post(
            [this, value = std::move(value), on_result = std::move(on_result)] {
                on_result(apply(value));
            });
    }

    [[nodiscard]] const state::control_state& state() const override
    {
        return state_;
    }

    [[nodiscard]] coordination::leadership leads() const override
    {
        return leads_;
    }

    void on_committed(committed_handler handler) override
    {
        handlers_.push_back(std::move(handler));
    }

    void on_leadership(leadership_handler) override {}

private:
    transport::event_loop& loop_;
    const transport::clock& clock_;
    state::control_state state_;
    state::log_index index_ = 0;
    coordination::leadership leads_;
    std::vector<committed_handler> handlers_;
};

} // namespace hyssopdeal::tests

#endif
