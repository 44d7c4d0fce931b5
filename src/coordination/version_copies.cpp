#include "version_copies.hpp"

#include <utility>

#include "attempt.hpp"
#include "entry_shard.hpp"
#include "request_flow.hpp"

namespace hyssopdeal::coordination
{

namespace
{

constexpr std::string_view content_mark = "\"content\":\"";
constexpr std::string_view end_mark = "[DONE]";

/// Counts contents that are not empty.
std::uint32_t count_contents(std::string_view text)
{
    std::uint32_t count = 0;
    auto at = text.find(content_mark);
    while (at != std::string_view::npos)
    {
        const auto next = at + content_mark.size();
        count += next < text.size() && text[next] != '"' ? 1 : 0;
        at = text.find(content_mark, next);
    }
    return count;
}

} // namespace

struct version_copies::copy
{
    std::string service;
    protocol::service_kind kind = protocol::service_kind::plain;
    protocol::answer_mode mode = protocol::answer_mode::whole;
    route_choice choice;
    watched_attempt watched;
    int status = 0;
    bool refused = false;
    std::uint32_t contents = 0;
    std::string line; ///< Not ended yet.
    bool end_seen = false;
    transport::http_call_end end;
    transport::http_call call;

    void take(std::string_view piece)
    {
        line += piece;
        const auto cut = line.rfind('\n');
        const auto done = cut == std::string::npos ? 0 : cut + 1;
        look_at(std::string_view{line}.substr(0, done));
        line.erase(0, done);
    }

    void look_at(std::string_view text)
    {
        contents += count_contents(text);
        end_seen = end_seen || text.find(end_mark) != std::string_view::npos;
    }

    /// @return Whether the answer tells something of the version.
    [[nodiscard]] bool counts() const
    {
        constexpr int first_client_error = 400;
        constexpr int first_server_error = 500;
        const bool callers_fault =
            status >= first_client_error && status < first_server_error;
        return !refused && !callers_fault &&
               (end.complete || end.error.ran != transport::verdict::not_run);
    }

    [[nodiscard]] answer_kind answer() const
    {
        constexpr int first_server_error = 500;
        if (status == 0 || status >= first_server_error)
        {
            return answer_kind::failed;
        }
        const bool model = kind == protocol::service_kind::model;
        const bool streamed = model && mode == protocol::answer_mode::streamed;
        const bool cut = !end.complete || (end.ended_by_close && !streamed);
        if (cut || (streamed && !end_seen))
        {
            return answer_kind::broken;
        }
        return model && contents == 0 ? answer_kind::empty : answer_kind::whole;
    }
};

version_copies::version_copies(entry_shard& shard)
    : shard_(shard)
{}

version_copies::~version_copies() = default;

void version_copies::set_shares(const protocol::service& declared)
{
    if (declared.shares.size() < 2)
    {
        moving_.erase(declared.name);
        return;
    }
    moving_[declared.name] = declared;
}

void version_copies::consider(const accepted_request& request)
{
    const auto found = moving_.find(request.service);
    if (found == moving_.end() || !request.idempotency_key.empty())
    {
        return;
    }
    const auto& service = found->second;
    const auto version = shadow_.choose(
        service.shares, shard_.versions.effective_shares(shard_.now(), service),
        request.route.repeats, shard_.random);
    if (!version.empty())
    {
        send(request, version);
    }
}

void version_copies::send(const accepted_request& request,
                          std::string_view version)
{
    auto* const lane = shard_.find_lane(request.service);
    route_request wanted;
    wanted.prompt = request.chat.prompt;
    wanted.max_new_tokens = request.chat.max_tokens;
    wanted.priority = protocol::priority_class::batch;
    wanted.version = version;
    auto choice =
        lane == nullptr
            ? transport::result<route_choice>{transport::fail(
                  transport::reason::no_backend_server, "No lane.")}
            : lane->router().choose(shard_.now(), wanted, shard_.random);
    if (!choice)
    {
        shadow_.on_ended();
        return;
    }
    const auto number = next_++;
    auto& made = *(copies_[number] = std::make_unique<copy>());
    made.service = request.service;
    made.kind = request.kind;
    made.mode = request.chat.mode;
    made.choice = std::move(*choice);
    made.watched = shard_.versions.begin(shard_.now(), request.service,
                                         request.route.name, made.choice);
    auto sent = request_for_server(request, shard_.now());
    for (auto& header : sent.headers)
    {
        if (header.name == "Hyssopdeal-Priority")
        {
            header.value.assign(1, '2');
        }
    }
    if (request.kind == protocol::service_kind::model)
    {
        sent.headers.push_back(
            {"Hyssopdeal-Attempt", to_string(shard_.next_id())});
    }
    transport::http_call_handlers handlers;
    handlers.on_head = [&made](int status, const auto& headers) {
        made.status = status;
        made.refused = is_refusal(status, headers);
    };
    handlers.on_data = [this, &made](std::string_view piece) {
        shard_.versions.on_first_token(shard_.now(), made.watched);
        made.take(piece);
    };
    handlers.on_end = [this, &made, number](transport::http_call_end ended) {
        made.end = std::move(ended);
        end(number);
    };
    auto limits = limits_for_server(request, shard_);
    limits.body = request.body;
    made.call = shard_.client.start(made.choice.address, sent, limits,
                                    std::move(handlers));
}

void version_copies::end(std::uint64_t number)
{
    auto& made = *copies_.at(number);
    made.look_at(made.line);
    const auto now = shard_.now();
    const auto kind = made.answer();
    if (!made.counts() || shard_.is_leaving(made.choice.server))
    {
        version_watch::forget(made.watched);
    }
    shard_.versions.on_ended(now, made.watched, kind, made.contents);
    if (auto* const lane = shard_.find_lane(made.service))
    {
        if (made.refused)
        {
            lane->on_refused(made.choice);
        }
        else
        {
            lane->on_ended(made.choice,
                           kind == answer_kind::whole
                               ? attempt_outcome::succeeded
                               : attempt_outcome::failed,
                           made.contents);
        }
    }
    shadow_.on_ended();
    ended_.push_back(number);
}

void version_copies::collect()
{
    for (const auto number : std::exchange(ended_, {}))
    {
        copies_.erase(number);
    }
}

} // namespace hyssopdeal::coordination
