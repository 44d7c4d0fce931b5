/// @file
/// Work left at servers.

#include <hyssopdeal/coordination/cost/server_backlog.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace hyssopdeal::coordination
{

using protocol::listed_server;
using protocol::sent_load;
using transport::monotonic_time;

std::optional<stated_load> parse_stated_load(std::string_view text)
{
    constexpr std::size_t required = 3;
    std::array<std::uint32_t, required + 1> numbers{};
    std::size_t count = 0;
    const auto* at = text.data();
    const auto* const end = at + text.size();
    while (count < numbers.size())
    {
        const auto read = std::from_chars(at, end, numbers.at(count));
        if (read.ec != std::errc{})
        {
            return std::nullopt;
        }
        ++count;
        at = read.ptr;
        if (at == end)
        {
            break;
        }
        if (*at != ',')
        {
            return std::nullopt;
        }
        ++at;
    }
    if (count < required || at != end || (!text.empty() && text.back() == ','))
    {
        return std::nullopt;
    }
    stated_load load{numbers[0], numbers[1], numbers[2], std::nullopt};
    if (count > required)
    {
        load.slowdown_percent = numbers[required];
    }
    return load;
}

server_backlog::server_state&
server_backlog::state_of(const listed_server& server)
{
    auto& state = servers_.update(server.id);
    if (state.born != server.born)
    {
        state = {};
        state.born = server.born;
    }
    return state;
}

void server_backlog::on_stated(monotonic_time now, const listed_server& server,
                               const stated_load& load)
{
    auto& state = state_of(server);
    state.load = load;
    state.at = now;
    state.known = true;
    state.sent_since = 0;
}

void server_backlog::on_sent(const listed_server& server)
{
    ++state_of(server).sent_since;
}

void server_backlog::on_outcome(const listed_server& server, double actual_ms,
                                double by_statement_ms, double by_reports_ms)
{
    constexpr double weight = 0.1;
    auto& state = state_of(server);
    // The ratio counts, else long requests decide alone. One outcome must not.
    constexpr double max_error = 2;
    const auto error = [&](double predicted) {
        return std::min(max_error,
                        std::abs(std::log(std::max(1.0, actual_ms) /
                                          std::max(1.0, predicted))));
    };
    for (auto* known : {&state.errors, &services_.update(server.service)})
    {
        ++known->outcomes;
        const double share = std::max(weight, 1 / known->outcomes);
        known->by_statement +=
            share * (error(by_statement_ms) - known->by_statement);
        known->by_reports += share * (error(by_reports_ms) - known->by_reports);
    }
}

work_left server_backlog::reported(const sent_load& own, const sent_load& peers)
{
    return {static_cast<double>(own.running) + peers.running,
            static_cast<double>(own.waiting_tokens) +
                static_cast<double>(peers.waiting_tokens),
            static_cast<double>(own.writing) +
                static_cast<double>(peers.writing)};
}

std::optional<work_left> server_backlog::stated(monotonic_time now,
                                                const listed_server& server,
                                                const sent_load& own,
                                                const sent_load& peers) const
{
    const auto* state = servers_.find(server.id);
    if (state == nullptr || !state->known || state->born != server.born ||
        now - state->at >= stated_load_lifetime)
    {
        return std::nullopt;
    }
    auto work = reported(own, peers);
    const double stated_requests = static_cast<double>(state->load.running) +
                                   state->load.waiting + state->sent_since;
    // Requests of this gateway are known to be there. Much more than the slots
    // and what was reported is false or of no use for a choice.
    const double slots = std::max(1U, server.slots);
    const double requests =
        std::clamp(stated_requests, static_cast<double>(own.running),
                   std::max(work.requests, slots) * 4);
    // The others' reports are older; what they say of work shrinks or grows
    // with the number of requests.
    const double factor =
        work.requests > 0 ? std::min(2.0, requests / work.requests) : 1;
    work.requests = requests;
    work.events *= factor;
    if (state->load.waiting == 0 && state->load.running == 0 &&
        state->sent_since == 0)
    {
        work.prompt_tokens = static_cast<double>(own.waiting_tokens);
    }
    return work;
}

/// A server without outcomes is judged by the others of its service. Until they
/// are known, statements are not used: a server that is avoided because of a
/// false one gives no outcomes that would disprove it.
bool server_backlog::trusted(const listed_server& server) const
{
    constexpr double min_outcomes = 5;
    // Statements that lead to better choices may predict worse; false ones had
    // twice the error of reports in the play of cost_placement_test.
    constexpr double tolerance = 1.5;
    const auto holds = [&](const prediction_errors& errors) {
        return errors.by_statement <= tolerance * errors.by_reports;
    };
    const auto* service = services_.find(server.service);
    const auto* state = servers_.find(server.id);
    return service != nullptr && service->outcomes >= min_outcomes &&
           holds(*service) &&
           (state == nullptr || state->born != server.born ||
            holds(state->errors));
}

} // namespace hyssopdeal::coordination
