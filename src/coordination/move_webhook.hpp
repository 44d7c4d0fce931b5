#ifndef HYSSOPDEAL_SRC_COORDINATION_MOVE_WEBHOOK_HPP
#define HYSSOPDEAL_SRC_COORDINATION_MOVE_WEBHOOK_HPP

/// @file
/// Internal: tells a webhook how moves ended, with retries.
///
/// Index: [move_webhook]

#include <cstdint>
#include <map>
#include <string>

#include <hyssopdeal/coordination/move_runner.hpp>
#include <hyssopdeal/state/records.hpp>

#include "move_calls.hpp"

namespace hyssopdeal::coordination
{

// [move_webhook] -------------------------------------------------------------

/// @return `done`, `taken_back`, `cancelled` or `running`.
[[nodiscard]] const char* outcome_of(state::move_phase phase);

/// Used on the loop's thread. The settings must outlive it.
class move_webhook
{
public:
    move_webhook(transport::event_loop& loop, move_calls& calls,
                 const move_runner_settings& settings);

    /// Tells of a move; tried again with growing delays.
    void tell(const state::move_record& move);

private:
    struct message
    {
        std::string body;
        std::uint32_t attempts = 0;
        transport::timer_handle timer; ///< Until the next attempt.
    };

    void post(std::uint64_t number);
    void on_answer(std::uint64_t number,
                   const transport::result<transport::http_response>& answer);

    transport::event_loop& loop_;
    move_calls& calls_;
    const move_runner_settings& settings_;
    std::map<std::uint64_t, message> messages_; ///< By number.
    std::uint64_t next_ = 1;
};

} // namespace hyssopdeal::coordination

#endif
