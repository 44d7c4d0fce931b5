#include <algorithm>
#include <utility>

#include "entry_answers.hpp"
#include "entry_shard.hpp"
#include "request_flow.hpp"

namespace hyssopdeal::coordination
{

using transport::reason;

namespace
{

constexpr std::chrono::milliseconds retry_after{1'000};

state::call_outcome outcome_of(const transport::http_response& answer)
{
    state::call_outcome outcome;
    outcome.status = static_cast<std::uint32_t>(answer.status);
    for (const auto& header : answer.headers)
    {
        outcome.headers.push_back({header.name, header.value});
    }
    outcome.body = answer.body;
    return outcome;
}

transport::http_response answer_of(const state::call_outcome& outcome)
{
    transport::http_response answer;
    answer.status = static_cast<int>(outcome.status);
    for (const auto& header : outcome.headers)
    {
        answer.headers.push_back({header.name, header.value});
    }
    answer.headers.push_back({"Hyssopdeal-Verdict", "ran"});
    answer.headers.push_back(
        {"Hyssopdeal-Replayed", outcome.body_cut ? "cut" : "whole"});
    answer.body = outcome.body;
    return answer;
}

} // namespace

bool request_flow::is_guarded() const noexcept
{
    if (request_.route.repeats != protocol::repeatability::at_most_once)
    {
        return false;
    }
    return !request_.idempotency_key.empty() ||
           shard_.shared.settings.without_key == missing_key::refuse;
}

void request_flow::claim()
{
    if (!shard_.ledger)
    {
        refuse({ran_, reason::no_quorum,
                "No control replica can record the call."},
               retry_after);
        return;
    }
    step_started_ = shard_.now();
    shard_.ledger->claim(request_.organisation, request_.idempotency_key,
                         ledger_digest(request_.http.method,
                                       request_.http.target,
                                       request_.http.body),
                         [self = shared_from_this()](ledger_answer answer) {
                             self->on_claim(std::move(answer));
                         });
}

void request_flow::on_claim(ledger_answer claimed)
{
    shard_.record_span("ledger_commit", request_, step_started_, {});
    switch (claimed.verdict)
    {
    case ledger_verdict::dispatch:
        claim_ = std::move(claimed.claim);
        choose();
        return;
    case ledger_verdict::replay:
        answer(answer_of(claimed.outcome));
        return;
    case ledger_verdict::refuse:
        claimed.failure.ran = std::max(claimed.failure.ran, ran_);
        refuse(claimed.failure, retry_after);
        return;
    }
}

void request_flow::release_claim()
{
    if (claim_)
    {
        shard_.ledger->release(*std::exchange(claim_, std::nullopt));
    }
}

void request_flow::finish_claim(const transport::http_response& answer)
{
    if (claim_)
    {
        shard_.ledger->finish(*std::exchange(claim_, std::nullopt),
                              outcome_of(answer));
    }
}

// The call may have run: its key stays open and is never dispatched again.
void request_flow::forget_claim()
{
    claim_.reset();
}

} // namespace hyssopdeal::coordination
