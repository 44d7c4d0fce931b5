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

state::call_outcome to_call_outcome(const transport::http_response& answer)
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

transport::http_response to_http_response(const state::call_outcome& outcome)
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

bool request_flow::requires_claim() const noexcept
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
        refuse({verdict_, reason::no_quorum,
                "No control replica can record the call."},
               retry_after);
        return;
    }
    span_started_ = shard_.now();
    shard_.ledger->claim(request_.organisation, request_.idempotency_key,
                         ledger_digest(request_.http.method,
                                       request_.http.target, *request_.body),
                         [self = shared_from_this()](ledger_answer answer) {
                             self->on_claim(std::move(answer));
                         });
}

void request_flow::on_claim(ledger_answer claimed)
{
    shard_.record_span("ledger_commit", request_, span_started_, {});
    switch (claimed.verdict)
    {
    case ledger_verdict::dispatch:
        claim_ = std::move(claimed.claim);
        choose();
        return;
    case ledger_verdict::replay:
        answer(to_http_response(claimed.outcome));
        return;
    case ledger_verdict::refuse:
        claimed.failure.ran = std::max(claimed.failure.ran, verdict_);
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
                              to_call_outcome(answer));
    }
}

// For a call that may have run: without a release or an outcome the ledger
// keeps the key open and grants no further claim during its retention.
void request_flow::abandon_claim()
{
    claim_.reset();
}

} // namespace hyssopdeal::coordination
