/// @file
/// Entry-side client of the at-most-once ledger.

#include <hyssopdeal/coordination/ledger_client.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include <hyssopdeal/transport/digest.hpp>
#include <hyssopdeal/transport/logging.hpp>

#include "coordination/ledger_wire.hpp"

namespace hyssopdeal::coordination
{

using transport::monotonic_time;
using transport::reason;
using transport::verdict;

namespace
{

/// A ledger command without a final reply.
struct pending_request
{
    state::command command;
    /// Set for claims until it is called.
    ledger_client::answer_handler on_answer;
    monotonic_time first_sent{};
    /// When on_answer is called with a refusal.
    monotonic_time answer_deadline{};
    monotonic_time expires_at{};
    monotonic_time next_attempt{};
    bool in_flight = false;
    /// Some attempt ended without a result and without a `not_run` verdict.
    bool may_be_committed = false;
};

ledger_answer make_refusal(reason code, std::string text, verdict ran)
{
    ledger_answer answer;
    answer.failure = {ran, code, std::move(text)};
    return answer;
}

} // namespace

// [impl] ---------------------------------------------------------------------

struct ledger_client::impl : std::enable_shared_from_this<impl>
{
    impl(ledger_client_settings client_settings,
         const transport::clock& client_clock, call_function send_call,
         std::uint64_t seed)
        : settings(std::move(client_settings)),
          clock(client_clock),
          call(std::move(send_call)),
          random(seed)
    {}

    void add(pending_request request);
    void send(std::uint64_t id, pending_request& request);
    void on_reply(std::uint64_t id,
                  const transport::result<std::string>& received);
    void schedule_retry(pending_request& request, monotonic_time next);
    void complete(std::uint64_t id, const state::command_result& result);
    void answer_claim(pending_request& request,
                      const state::claim_result& result);
    void release_claim(const state::claim_record& claim);
    void expire(monotonic_time now);

    ledger_client_settings settings;
    const transport::clock& clock;
    call_function call;
    std::mt19937_64 random;
    std::map<std::uint64_t, pending_request> pending;
    std::uint64_t next_id = 0;
    std::vector<std::string> replicas;
    std::string leader;
    /// Selects the replica to ask while the leader is unknown.
    std::size_t next_replica = 0;
};

// [sending] ------------------------------------------------------------------

void ledger_client::impl::add(pending_request request)
{
    const auto id = ++next_id;
    request.first_sent = clock.monotonic_now();
    request.next_attempt = request.first_sent;
    auto& added = pending.emplace(id, std::move(request)).first->second;
    send(id, added);
}

void ledger_client::impl::send(std::uint64_t id, pending_request& request)
{
    if (replicas.empty())
    {
        return schedule_retry(request,
                              clock.monotonic_now() + settings.retry_wait);
    }
    const auto to =
        leader.empty() ? replicas[next_replica % replicas.size()] : leader;
    request.in_flight = true;
    const std::weak_ptr<impl> self = weak_from_this();
    call(to, encode_ledger_request(request.command), settings.try_time_limit,
         [self, id](const auto& received) {
             if (const auto alive = self.lock())
             {
                 alive->on_reply(id, received);
             }
         });
}

void ledger_client::impl::schedule_retry(pending_request& request,
                                         monotonic_time next)
{
    request.in_flight = false;
    request.next_attempt = next;
}

void ledger_client::impl::on_reply(
    std::uint64_t id, const transport::result<std::string>& received)
{
    const auto found = pending.find(id);
    if (found == pending.end())
    {
        return;
    }
    auto& request = found->second;
    const auto now = clock.monotonic_now();
    if (!received)
    {
        const bool sent = received.error().ran != verdict::not_run;
        request.may_be_committed = request.may_be_committed || sent;
        leader.clear();
        ++next_replica;
        return schedule_retry(request, now + settings.retry_wait);
    }
    const auto reply = decode_ledger_reply(*received);
    if (reply && reply->result)
    {
        return complete(id, *reply->result);
    }
    const bool not_run = reply && reply->result.error().ran == verdict::not_run;
    request.may_be_committed = request.may_be_committed || !not_run;
    const bool has_new_leader =
        reply && !reply->leader.empty() && reply->leader != leader;
    leader = reply ? reply->leader : std::string{};
    next_replica += leader.empty() ? 1 : 0;
    schedule_retry(request, has_new_leader ? now : now + settings.retry_wait);
}

// [replies] ------------------------------------------------------------------

void ledger_client::impl::complete(std::uint64_t id,
                                   const state::command_result& result)
{
    auto request = std::move(pending.at(id));
    pending.erase(id);
    const auto* claimed = std::get_if<state::claim_result>(&result.body);
    if (claimed == nullptr)
    {
        return;
    }
    if (request.on_answer)
    {
        return answer_claim(request, *claimed);
    }
    // The caller was already refused with `not_run`, so a claim granted now
    // will not be dispatched.
    if (claimed->status == state::claim_status::granted)
    {
        release_claim(claimed->claim);
    }
}

void ledger_client::impl::answer_claim(pending_request& request,
                                       const state::claim_result& result)
{
    const auto& held = result.claim;
    ledger_answer answer;
    switch (result.status)
    {
    case state::claim_status::granted:
        answer.verdict = ledger_verdict::dispatch;
        answer.claim = {held.organisation, held.key, held.number,
                        request.first_sent + settings.dispatch_limit};
        break;
    case state::claim_status::finished:
        answer.verdict = ledger_verdict::replay;
        answer.outcome = held.outcome;
        break;
    case state::claim_status::open:
        answer =
            make_refusal(reason::key_in_use,
                         "A call with this idempotency key has no outcome yet.",
                         verdict::may_have_run);
        break;
    case state::claim_status::mismatch:
        answer =
            make_refusal(reason::key_mismatch,
                         "The idempotency key was used with another request.",
                         verdict::not_run);
        break;
    case state::claim_status::full:
        answer = make_refusal(reason::limit_reached,
                              "The ledger has no room for another key.",
                              verdict::not_run);
        break;
    }
    request.on_answer(std::move(answer));
}

void ledger_client::impl::release_claim(const state::claim_record& claim)
{
    pending_request request;
    request.command.body =
        state::release_claim{claim.organisation, claim.key, claim.number};
    request.expires_at = clock.monotonic_now() + settings.record_time_limit;
    add(std::move(request));
}

// [expiry] -------------------------------------------------------------------

void ledger_client::impl::expire(monotonic_time now)
{
    std::vector<answer_handler> refused;
    for (auto current = pending.begin(); current != pending.end();)
    {
        auto& request = current->second;
        if (request.on_answer && now >= request.answer_deadline)
        {
            refused.push_back(std::exchange(request.on_answer, {}));
            const bool not_committed =
                !request.may_be_committed && !request.in_flight;
            request.expires_at = not_committed ? now : request.expires_at;
        }
        if (now < request.expires_at)
        {
            ++current;
            continue;
        }
        const bool is_outcome =
            std::holds_alternative<state::record_outcome>(request.command.body);
        if (is_outcome)
        {
            transport::log_warning(
                transport::log_part::ledger,
                "Call outcome not recorded within the time limit.");
        }
        current = pending.erase(current);
    }
    for (const auto& handler : refused)
    {
        handler(make_refusal(reason::no_quorum,
                             "The ledger cannot be written now.",
                             verdict::not_run));
    }
}

// [ledger_client] ------------------------------------------------------------

ledger_client::ledger_client(ledger_client_settings settings,
                             const transport::clock& clock, call_function call,
                             std::uint64_t random_seed)
    : impl_(std::make_shared<impl>(std::move(settings), clock, std::move(call),
                                   random_seed))
{}

ledger_client::~ledger_client() = default;

void ledger_client::set_replicas(std::vector<std::string> names)
{
    impl_->replicas = std::move(names);
}

void ledger_client::claim(std::string organisation, std::string key,
                          std::string request_digest, answer_handler on_answer)
{
    const auto now = impl_->clock.monotonic_now();
    const auto& settings = impl_->settings;
    pending_request request;
    request.command.body = state::claim_key{
        std::move(organisation), std::move(key),  std::move(request_digest),
        settings.entry,          impl_->random(), settings.dispatch_limit,
        settings.retention};
    request.on_answer = std::move(on_answer);
    request.answer_deadline = now + settings.claim_time_limit;
    request.expires_at = now + settings.record_time_limit;
    impl_->add(std::move(request));
}

bool ledger_client::may_dispatch(const ledger_claim& claim) const
{
    return impl_->clock.monotonic_now() < claim.dispatch_until;
}

void ledger_client::release(const ledger_claim& claim)
{
    state::claim_record record;
    record.organisation = claim.organisation;
    record.key = claim.key;
    record.number = claim.number;
    impl_->release_claim(record);
}

void ledger_client::finish(const ledger_claim& claim,
                           state::call_outcome outcome)
{
    if (outcome.body.size() > state::max_outcome_body_bytes)
    {
        outcome.body.resize(state::max_outcome_body_bytes);
        outcome.body_cut = true;
    }
    pending_request request;
    request.command.body = state::record_outcome{
        claim.organisation, claim.key, claim.number, std::move(outcome)};
    request.expires_at =
        impl_->clock.monotonic_now() + impl_->settings.record_time_limit;
    impl_->add(std::move(request));
}

void ledger_client::tick()
{
    const auto now = impl_->clock.monotonic_now();
    impl_->expire(now);
    std::vector<std::uint64_t> due;
    for (const auto& [id, request] : impl_->pending)
    {
        if (!request.in_flight && now >= request.next_attempt)
        {
            due.push_back(id);
        }
    }
    for (const auto id : due)
    {
        const auto found = impl_->pending.find(id);
        if (found != impl_->pending.end())
        {
            impl_->send(id, found->second);
        }
    }
}

std::size_t ledger_client::pending_count() const noexcept
{
    return impl_->pending.size();
}

// [digest] -------------------------------------------------------------------

std::string ledger_digest(std::string_view method, std::string_view path,
                          std::string_view body)
{
    // Method and path cannot contain NUL, so the concatenation is unambiguous.
    std::string bytes;
    bytes.reserve(method.size() + path.size() + body.size() + 2);
    bytes.append(method).push_back('\0');
    bytes.append(path).push_back('\0');
    bytes.append(body);
    return transport::sha256_hex(bytes);
}

} // namespace hyssopdeal::coordination
