#ifndef HYSSOPDEAL_COORDINATION_LEDGER_CLIENT_HPP
#define HYSSOPDEAL_COORDINATION_LEDGER_CLIENT_HPP

/// @file
/// An entry's side of the at-most-once ledger: claim before dispatch, then
/// record the outcome or give the claim back.
///
/// Index: [settings] [ledger_claim] [ledger_answer] [ledger_client]
///
/// Does no I/O of its own: messages leave through a function, time comes with
/// tick().

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Times of the ledger.
struct ledger_client_settings
{
    std::string entry;                                   ///< Peer name.
    std::chrono::milliseconds claim_time_limit{2'000};   ///< To an answer.
    std::chrono::milliseconds try_time_limit{700};       ///< Of one message.
    std::chrono::milliseconds retry_wait{50};            ///< Between tries.
    std::chrono::milliseconds dispatch_limit{5'000};     ///< From the claim.
    std::chrono::milliseconds record_time_limit{60'000}; ///< For outcomes.
    std::chrono::milliseconds retention{86'400'000};     ///< Of a key.
};

// [ledger_claim] -------------------------------------------------------------

/// The right to dispatch a call once.
struct ledger_claim
{
    std::string organisation;
    std::string key;
    std::uint64_t number = 0;                   ///< Of the claim.
    transport::monotonic_time dispatch_until{}; ///< No dispatch from then on.
};

// [ledger_answer] ------------------------------------------------------------

/// What the caller's request may do.
enum class ledger_verdict : std::uint8_t
{
    dispatch, ///< Once, before dispatch_until; then finish() or release().
    replay,   ///< Answer with the recorded outcome.
    refuse    ///< Answer with the failure.
};

/// Answer to a claim.
struct ledger_answer
{
    ledger_verdict verdict = ledger_verdict::refuse;
    ledger_claim claim;          ///< To dispatch.
    state::call_outcome outcome; ///< To replay.
    transport::failure failure;  ///< To refuse: key_in_use (409),
                                 ///< key_mismatch (422), no_quorum or
                                 ///< limit_reached (503).
};

// [ledger_client] ------------------------------------------------------------

/// Talks to the control replicas; used by one thread.
class ledger_client
{
public:
    using answer_handler = std::function<void(ledger_answer)>;

    /// Sends a message on the ledger channel and waits for its answer.
    using reply_handler = std::function<void(transport::result<std::string>)>;
    using call_function = std::function<void(
        const std::string& to, std::string payload,
        std::chrono::milliseconds time_limit, reply_handler on_reply)>;

    /// @param random_seed For nonces; different in each life of an entry.
    ledger_client(ledger_client_settings settings,
                  const transport::clock& clock, call_function call,
                  std::uint64_t random_seed);
    ledger_client(const ledger_client&) = delete;
    ledger_client& operator=(const ledger_client&) = delete;
    ~ledger_client();

    /// Tells the control replicas' peer names.
    void set_replicas(std::vector<std::string> names);

    /// Claims a key.
    ///
    /// @param request_digest Of method, path and body.
    /// @param on_answer Called once, within claim_time_limit.
    void claim(std::string organisation, std::string key,
               std::string request_digest, answer_handler on_answer);

    /// @return Whether the claim's time to dispatch is not over.
    [[nodiscard]] bool may_dispatch(const ledger_claim& claim) const;

    /// Gives a claim back of which surely no byte was dispatched.
    void release(const ledger_claim& claim);

    /// Records how the call ended; the body is cut to 64 KiB.
    void finish(const ledger_claim& claim, state::call_outcome outcome);

    /// Does what is due; call it every retry_wait.
    void tick();

    /// @return Messages whose fate is not known yet.
    [[nodiscard]] std::size_t open() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> impl_; // answers may come after the end
};

/// @return Digest of a request, for claim().
[[nodiscard]] std::string ledger_digest(std::string_view method,
                                        std::string_view path,
                                        std::string_view body);

} // namespace hyssopdeal::coordination

#endif
