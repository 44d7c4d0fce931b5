/// @file
/// An entry's side of the at-most-once ledger.

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

/// A command on its way to the leader.
struct ledger_job
{
    state::command command;
    ledger_client::answer_handler on_answer; ///< Of a claim, until answered.
    monotonic_time first_sent{};
    monotonic_time answer_due{}; ///< Of a claim.
    monotonic_time give_up{};
    monotonic_time next_try{};
    bool in_flight = false;
    bool may_be_written = false; ///< Some try did not say "not run".
};

ledger_answer refusal(reason code, std::string text, verdict ran)
{
    ledger_answer answer;
    answer.failure = {ran, code, std::move(text)};
    return answer;
}

} // namespace

// [impl] ---------------------------------------------------------------------

struct ledger_client::impl : std::enable_shared_from_this<impl>
{
    impl(ledger_client_settings own_settings, const transport::clock& own_clock,
         call_function own_call, std::uint64_t seed)
        : settings(std::move(own_settings)),
          clock(own_clock),
          call(std::move(own_call)),
          random(seed)
    {}

    void add(ledger_job job);
    void send(std::uint64_t id, ledger_job& job);
    void replied(std::uint64_t id, const transport::result<std::string>& got);
    void retry(ledger_job& job, monotonic_time next);
    void done(std::uint64_t id, const state::command_result& result);
    void answer(ledger_job& job, const state::claim_result& result);
    void release(const state::claim_record& claim);
    void expire(monotonic_time now);

    ledger_client_settings settings;
    const transport::clock& clock;
    call_function call;
    std::mt19937_64 random;
    std::map<std::uint64_t, ledger_job> jobs;
    std::uint64_t next_id = 0;
    std::vector<std::string> replicas;
    std::string leader;
    std::size_t turn = 0; ///< Next replica to ask when no leader is known.
};

// [sending] ------------------------------------------------------------------

void ledger_client::impl::add(ledger_job job)
{
    const auto id = ++next_id;
    job.first_sent = clock.monotonic_now();
    job.next_try = job.first_sent;
    auto& kept = jobs.emplace(id, std::move(job)).first->second;
    send(id, kept);
}

void ledger_client::impl::send(std::uint64_t id, ledger_job& job)
{
    if (replicas.empty())
    {
        return retry(job, clock.monotonic_now() + settings.retry_wait);
    }
    const auto to = leader.empty() ? replicas[turn % replicas.size()] : leader;
    job.in_flight = true;
    const std::weak_ptr<impl> self = weak_from_this();
    call(to, encode_ledger_request(job.command), settings.try_time_limit,
         [self, id](const auto& got) {
             if (const auto alive = self.lock())
             {
                 alive->replied(id, got);
             }
         });
}

void ledger_client::impl::retry(ledger_job& job, monotonic_time next)
{
    job.in_flight = false;
    job.next_try = next;
}

void ledger_client::impl::replied(std::uint64_t id,
                                  const transport::result<std::string>& got)
{
    const auto found = jobs.find(id);
    if (found == jobs.end())
    {
        return;
    }
    auto& job = found->second;
    const auto now = clock.monotonic_now();
    if (!got)
    {
        const bool sent = got.error().ran != verdict::not_run;
        job.may_be_written = job.may_be_written || sent;
        leader.clear();
        ++turn;
        return retry(job, now + settings.retry_wait);
    }
    const auto reply = decode_ledger_reply(*got);
    if (reply && reply->result)
    {
        return done(id, *reply->result);
    }
    const bool not_run = reply && reply->result.error().ran == verdict::not_run;
    job.may_be_written = job.may_be_written || !not_run;
    const bool hinted =
        reply && !reply->leader.empty() && reply->leader != leader;
    leader = reply ? reply->leader : std::string{};
    turn += leader.empty() ? 1 : 0;
    retry(job, hinted ? now : now + settings.retry_wait);
}

// [answers] ------------------------------------------------------------------

void ledger_client::impl::done(std::uint64_t id,
                               const state::command_result& result)
{
    auto job = std::move(jobs.at(id));
    jobs.erase(id);
    const auto* claimed = std::get_if<state::claim_result>(&result.body);
    if (claimed == nullptr)
    {
        return;
    }
    if (job.on_answer)
    {
        return answer(job, *claimed);
    }
    // The caller was told "not run" already: nobody will dispatch.
    if (claimed->status == state::claim_status::granted)
    {
        release(claimed->claim);
    }
}

void ledger_client::impl::answer(ledger_job& job,
                                 const state::claim_result& result)
{
    const auto& held = result.claim;
    ledger_answer told;
    switch (result.status)
    {
    case state::claim_status::granted:
        told.verdict = ledger_verdict::dispatch;
        told.claim = {held.organisation, held.key, held.number,
                      job.first_sent + settings.dispatch_limit};
        break;
    case state::claim_status::finished:
        told.verdict = ledger_verdict::replay;
        told.outcome = held.outcome;
        break;
    case state::claim_status::open:
        told = refusal(reason::key_in_use,
                       "A call with this idempotency key has no outcome yet.",
                       verdict::may_have_run);
        break;
    case state::claim_status::mismatch:
        told = refusal(reason::key_mismatch,
                       "The idempotency key was used with another request.",
                       verdict::not_run);
        break;
    case state::claim_status::full:
        told = refusal(reason::limit_reached,
                       "The ledger has no room for another key.",
                       verdict::not_run);
        break;
    }
    job.on_answer(std::move(told));
}

void ledger_client::impl::release(const state::claim_record& claim)
{
    ledger_job job;
    job.command.body =
        state::release_claim{claim.organisation, claim.key, claim.number};
    job.give_up = clock.monotonic_now() + settings.record_time_limit;
    add(std::move(job));
}

// [time] ---------------------------------------------------------------------

void ledger_client::impl::expire(monotonic_time now)
{
    std::vector<answer_handler> refused;
    for (auto at = jobs.begin(); at != jobs.end();)
    {
        auto& job = at->second;
        if (job.on_answer && now >= job.answer_due)
        {
            refused.push_back(std::exchange(job.on_answer, {}));
            const bool done = !job.may_be_written && !job.in_flight;
            job.give_up = done ? now : job.give_up;
        }
        if (now < job.give_up)
        {
            ++at;
            continue;
        }
        const bool outcome =
            std::holds_alternative<state::record_outcome>(job.command.body);
        if (outcome)
        {
            transport::log_warning(transport::log_part::ledger,
                                   "An outcome could not be recorded.");
        }
        at = jobs.erase(at);
    }
    for (const auto& handler : refused)
    {
        handler(refusal(reason::no_quorum, "The ledger cannot be written now.",
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
    ledger_job job;
    job.command.body = state::claim_key{
        std::move(organisation), std::move(key),  std::move(request_digest),
        settings.entry,          impl_->random(), settings.dispatch_limit,
        settings.retention};
    job.on_answer = std::move(on_answer);
    job.answer_due = now + settings.claim_time_limit;
    job.give_up = now + settings.record_time_limit;
    impl_->add(std::move(job));
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
    impl_->release(record);
}

void ledger_client::finish(const ledger_claim& claim,
                           state::call_outcome outcome)
{
    if (outcome.body.size() > state::max_outcome_body_bytes)
    {
        outcome.body.resize(state::max_outcome_body_bytes);
        outcome.body_cut = true;
    }
    ledger_job job;
    job.command.body = state::record_outcome{claim.organisation, claim.key,
                                             claim.number, std::move(outcome)};
    job.give_up =
        impl_->clock.monotonic_now() + impl_->settings.record_time_limit;
    impl_->add(std::move(job));
}

void ledger_client::tick()
{
    const auto now = impl_->clock.monotonic_now();
    impl_->expire(now);
    std::vector<std::uint64_t> due;
    for (const auto& [id, job] : impl_->jobs)
    {
        if (!job.in_flight && now >= job.next_try)
        {
            due.push_back(id);
        }
    }
    for (const auto id : due)
    {
        const auto found = impl_->jobs.find(id);
        if (found != impl_->jobs.end())
        {
            impl_->send(id, found->second);
        }
    }
}

std::size_t ledger_client::open() const noexcept
{
    return impl_->jobs.size();
}

// [digest] -------------------------------------------------------------------

std::string ledger_digest(std::string_view method, std::string_view path,
                          std::string_view body)
{
    // Each part closed by a byte that neither method nor path can hold.
    std::string bytes;
    bytes.reserve(method.size() + path.size() + body.size() + 2);
    bytes.append(method).push_back('\0');
    bytes.append(path).push_back('\0');
    bytes.append(body);
    return transport::sha256_hex(bytes);
}

} // namespace hyssopdeal::coordination
