#ifndef HYSSOPDEAL_PROGRAMS_LOAD_CALL_HPP
#define HYSSOPDEAL_PROGRAMS_LOAD_CALL_HPP

/// @file
/// One call of a caller, from its arrival to its checked end: streams are
/// resumed on other entries, purchases repeated with their key.
///
/// Index: [call_outcome] [call_plan] [call_result] [call]

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>

#include "load/scenario.hpp"

namespace hyssopdeal::load
{

// [call_outcome] -------------------------------------------------------------

/// How a call ended for its caller.
enum class call_outcome : std::uint8_t
{
    whole,        ///< The whole answer, every byte as expected.
    not_run,      ///< Refused; the answer says that nothing ran.
    may_have_run, ///< No answer; it may have run.
    failed,       ///< An error of a backend server, passed on.
    cut_short,    ///< A stream ended for good before its end.
    wrong         ///< Text that is not the answer to this call.
};

/// @return The outcome's name in results.
[[nodiscard]] std::string_view to_string(call_outcome value) noexcept;

// [call_plan] ----------------------------------------------------------------

/// What one call is to do.
struct call_plan
{
    call_kind kind = call_kind::stream;
    std::string path;                        ///< Target.
    std::string key;                         ///< Caller's key.
    std::string body;                        ///< Request body.
    std::string idempotency_key;             ///< Of a purchase.
    std::uint32_t leave_after = 0;           ///< Events; 0: stays connected.
    std::uint32_t repeats = 0;               ///< Further sends of a purchase.
    std::uint32_t max_reconnects = 0;        ///< Of a stream.
    std::uint32_t slow_bytes_per_second = 0; ///< Reads slowly; 0: at once.
    std::chrono::milliseconds deadline{0};   ///< 0: none.
    std::chrono::milliseconds give_up{120'000}; ///< Of one connection.
    std::size_t first_entry = 0;                ///< Which entry is asked first.
};

// [call_result] --------------------------------------------------------------

/// What came of one call.
struct call_result
{
    std::size_t class_index = 0;
    std::chrono::nanoseconds arrived{}; ///< Since the start of the run.
    std::chrono::nanoseconds first{};   ///< To the first token or the head.
    std::chrono::nanoseconds total{};   ///< To the end.
    call_outcome outcome = call_outcome::may_have_run;
    int status = 0;               ///< Of the last answer.
    std::uint32_t tokens = 0;     ///< Events with text.
    std::uint32_t reconnects = 0; ///< Of a stream.
    std::string version;          ///< That answered; empty: unknown.
    std::string reason;           ///< Of a refusal or fault.
    std::string idempotency_key;  ///< Of a purchase.
};

// [call] ---------------------------------------------------------------------

/// Runs one call; destroying it abandons the call.
class call
{
public:
    using end_handler = std::function<void(call_result)>;

    /// Called with each piece of an answer's text as it comes.
    using text_handler = std::function<void(std::string_view)>;

    call(transport::event_loop& loop, const transport::clock& clock,
         transport::http_client& client,
         const std::vector<std::string>& entries, call_plan plan,
         end_handler on_end, text_handler on_text = {});
    call(const call&) = delete;
    call& operator=(const call&) = delete;
    ~call();

    /// Sends the request.
    void start();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hyssopdeal::load

#endif
