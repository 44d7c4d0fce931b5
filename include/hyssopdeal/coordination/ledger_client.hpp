#ifndef HYSSOPDEAL_COORDINATION_LEDGER_CLIENT_HPP
#define HYSSOPDEAL_COORDINATION_LEDGER_CLIENT_HPP

/// @file
/// Entry-side client of the at-most-once ledger: claims an idempotency key
/// before dispatch, then records the outcome or releases the claim.
///
/// Index: [settings] [ledger_claim] [ledger_answer] [ledger_client]
///
/// Does no I/O of its own: messages are sent through a call_function, and
/// timers run in tick().

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

/// Name of the entry and time limits of its ledger client.
struct ledger_client_settings
{
    std::string entry;                                   ///< Its peer name.
    std::chrono::milliseconds claim_time_limit{2'000};   ///< Until an answer.
    std::chrono::milliseconds try_time_limit{700};       ///< For one message.
    std::chrono::milliseconds retry_wait{50};            ///< Between attempts.
    std::chrono::milliseconds dispatch_limit{5'000};     ///< After claim().
    std::chrono::milliseconds record_time_limit{60'000}; ///< Command lifetime.
    std::chrono::milliseconds retention{86'400'000};     ///< Of a claimed key.
};

// [ledger_claim] -------------------------------------------------------------

/// Permission to dispatch a call once.
struct ledger_claim
{
    std::string organisation;
    std::string key;
    std::uint64_t number = 0;                   ///< Identifies the claim.
    transport::monotonic_time dispatch_until{}; ///< Exclusive deadline.
};

// [ledger_answer] ------------------------------------------------------------

/// How the entry proceeds with the caller's request.
enum class ledger_verdict : std::uint8_t
{
    dispatch, ///< Send once before dispatch_until; then finish() or release().
    replay,   ///< Respond with the recorded outcome.
    refuse    ///< Respond with the failure.
};

/// Result of a claim.
struct ledger_answer
{
    ledger_verdict verdict = ledger_verdict::refuse;
    ledger_claim claim;          ///< Set for `dispatch`.
    state::call_outcome outcome; ///< Set for `replay`.
    transport::failure failure;  ///< Set for `refuse`: key_in_use (409),
                                 ///< key_mismatch (422), no_quorum or
                                 ///< limit_reached (503).
};

// [ledger_client] ------------------------------------------------------------

/// Sends ledger commands to the control replicas' leader and retries them.
/// Not thread-safe.
class ledger_client
{
public:
    using answer_handler = std::function<void(ledger_answer)>;

    /// Sends a message on the ledger channel; on_reply gets the reply or the
    /// transport failure.
    using reply_handler = std::function<void(transport::result<std::string>)>;
    using call_function = std::function<void(
        const std::string& to, std::string payload,
        std::chrono::milliseconds time_limit, reply_handler on_reply)>;

    /// @param random_seed Seeds the claim nonces; must differ between restarts
    /// of an entry.
    ledger_client(ledger_client_settings settings,
                  const transport::clock& clock, call_function call,
                  std::uint64_t random_seed);
    ledger_client(const ledger_client&) = delete;
    ledger_client& operator=(const ledger_client&) = delete;
    ~ledger_client();

    /// Sets the peer names of the control replicas.
    void set_replicas(std::vector<std::string> names);

    /// Claims an idempotency key.
    ///
    /// @param request_digest Digest of method, path and body, see
    /// ledger_digest().
    /// @param on_answer Called once; by the first tick() after
    /// claim_time_limit at the latest.
    void claim(std::string organisation, std::string key,
               std::string request_digest, answer_handler on_answer);

    /// @return Whether the claim's dispatch deadline has not passed yet.
    [[nodiscard]] bool may_dispatch(const ledger_claim& claim) const;

    /// Releases a claim. Only for a call of which no byte was sent to a backend
    /// server.
    void release(const ledger_claim& claim);

    /// Records the outcome of the call. The body is truncated to 64 KiB.
    void finish(const ledger_claim& claim, state::call_outcome outcome);

    /// Expires and resends pending commands; call it every retry_wait.
    void tick();

    /// @return Number of commands without a known result.
    [[nodiscard]] std::size_t pending_count() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> impl_; // replies may arrive after destruction
};

/// @return SHA-256 digest of a request in hex, for claim().
[[nodiscard]] std::string ledger_digest(std::string_view method,
                                        std::string_view path,
                                        std::string_view body);

} // namespace hyssopdeal::coordination

#endif
