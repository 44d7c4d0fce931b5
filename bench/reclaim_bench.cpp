/// @file
/// `reclaim`: the servers of a whole failure domain go with 5 s of notice and
/// with none; streams delivered whole, and tokens that were computed again.

#include "bench.hpp"
#include "request_model.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>

#include <hyssopdeal/coordination/stream_evacuation.hpp>

namespace hyssopdeal::bench
{

namespace
{

using namespace coordination;
using namespace std::chrono_literals;
using transport::monotonic_time;

constexpr double kv_bytes_per_token = 131'072;
constexpr double kv_bytes_per_second = 1e9; ///< Of one move.
constexpr double load = 0.6;
constexpr auto reclaimed_at = 30s;

/// How streams go on.
enum class recovery : std::uint8_t
{
    planned,      ///< As built: finish, move KV, prefill.
    prefill_only, ///< Prompt and text so far, elsewhere, at the notice.
    restart       ///< From scratch, once the server is gone.
};

constexpr std::array<std::string_view, 3> recovery_names{
    "planned", "prefill_only", "restart_from_scratch"};

/// One stream through the run.
struct modelled_stream
{
    const modelled_request* request = nullptr;
    std::size_t server = 0;
    std::uint64_t attempt = 0; ///< Of older ones nothing counts.
    double had = 0;            ///< Tokens before the attempt.
    monotonic_time first_token{};
    bool has_first_token = false;
    bool is_done = false;
    bool was_hit = false; ///< On a server that was reclaimed.
    monotonic_time lost_at{};
};

struct reclaim_result
{
    std::uint64_t streams = 0;
    std::uint64_t hit = 0;
    std::uint64_t hit_whole = 0;
    double recomputed = 0;
    double redone_seconds = 0; ///< Of prefill and of decoding once more.
    std::vector<double> stall; ///< Seconds without a token after the loss.
};

class reclaim_run
{
public:
    reclaim_run(const modelled_user& user, recovery how,
                std::chrono::seconds notice)
        : service_(make_service(user)),
          how_(how),
          notice_(notice)
    {
        for (const auto& declared : service_.servers)
        {
            servers_.push_back(std::make_unique<model_server>(loop_, declared));
            leaving_.push_back(false);
        }
    }

    reclaim_result run(const std::vector<modelled_request>& requests)
    {
        streams_.resize(requests.size());
        for (std::size_t i = 0; i < requests.size(); ++i)
        {
            streams_[i].request = &requests[i];
            loop_.at(requests[i].at, [this, i] { start(i); });
        }
        const auto start_time = loop_.now();
        loop_.at(start_time + reclaimed_at, [this] { on_notice(); });
        loop_.run_until(start_time + 300s);
        for (const auto& stream : streams_)
        {
            result_.streams += 1;
            result_.hit += stream.was_hit ? 1 : 0;
            result_.hit_whole += stream.was_hit && stream.is_done ? 1 : 0;
        }
        return std::move(result_);
    }

private:
    /// The server with the shortest wait and prefill, the same for every way.
    std::size_t quickest(const prefix_chain& chain, double prefill) const
    {
        std::size_t best = servers_.size();
        double shortest = 0;
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            const auto& declared = service_.servers[i];
            const double ahead = servers_[i]->running() +
                                 servers_[i]->queued() - 0.5 * declared.slots;
            const double seconds =
                std::max(ahead, 0.0) / declared.slots +
                std::max(prefill - servers_[i]->cached_tokens(chain), 0.0) /
                    declared.prefill_tokens_per_second;
            if (!leaving_[i] && (best == servers_.size() || seconds < shortest))
            {
                best = i;
                shortest = seconds;
            }
        }
        return best;
    }

    void start(std::size_t number)
    {
        submit(number, make_prefix_chain(streams_[number].request->prompt),
               prompt_tokens(number));
    }

    double prompt_tokens(std::size_t number) const
    {
        return static_cast<double>(streams_[number].request->prompt.size()) /
               bytes_per_token;
    }

    /// Starts an attempt that goes on from the text so far.
    void submit(std::size_t number, const prefix_chain& chain, double prefill)
    {
        auto& stream = streams_[number];
        stream.server = quickest(chain, prefill);
        stream.has_first_token = false;
        const auto attempt = ++stream.attempt;
        server_work work;
        work.chain = chain;
        work.prompt_tokens = prefill;
        work.output_tokens = stream.request->output_tokens - stream.had;
        work.on_first_token = [this, number, attempt, prefill](double cached) {
            auto& begun = streams_[number];
            if (begun.attempt != attempt)
            {
                return;
            }
            begun.first_token = loop_.now();
            begun.has_first_token = true;
            if (begun.was_hit)
            {
                result_.recomputed += prefill - cached;
                result_.redone_seconds +=
                    (prefill - cached) /
                    service_.servers.front().prefill_tokens_per_second;
                result_.stall.push_back(
                    std::chrono::duration<double>(loop_.now() - begun.lost_at)
                        .count());
            }
        };
        work.on_done = [this, number, attempt] {
            auto& ended = streams_[number];
            ended.is_done = ended.is_done || ended.attempt == attempt;
        };
        servers_[stream.server]->submit(work);
    }

    double generated(const modelled_stream& stream) const
    {
        if (!stream.has_first_token)
        {
            return stream.had;
        }
        const double seconds =
            std::chrono::duration<double>(loop_.now() - stream.first_token)
                .count();
        const double rate =
            service_.servers[stream.server].decode_tokens_per_second;
        return std::min(stream.had + seconds * rate,
                        stream.request->output_tokens);
    }

    void on_notice()
    {
        const auto& gone = service_.servers.front().failure_domain;
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            leaving_[i] = service_.servers[i].failure_domain == gone;
        }
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            if (leaving_[i])
            {
                evacuate(i);
            }
        }
    }

    void evacuate(std::size_t server)
    {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < streams_.size(); ++i)
        {
            if (streams_[i].attempt > 0 && !streams_[i].is_done &&
                streams_[i].server == server)
            {
                streams_[i].was_hit = true;
                open.push_back(i);
            }
        }
        if (how_ == recovery::planned)
        {
            carry_out(open);
            return;
        }
        const auto delay = how_ == recovery::restart ? notice_ : 0s;
        for (const auto number : open)
        {
            loop_.after(delay, [this, number] { go_on(number); });
        }
    }

    void carry_out(const std::vector<std::size_t>& open)
    {
        std::vector<evacuating_stream> list;
        for (const auto number : open)
        {
            const auto& stream = streams_[number];
            const auto tokens = prompt_tokens(number) + generated(stream);
            const double left =
                stream.request->output_tokens - generated(stream);
            const double rate =
                service_.servers[stream.server].decode_tokens_per_second;
            // One that waits for its slot holds nothing that could be moved.
            const bool runs = stream.has_first_token;
            list.push_back(
                {tokens,
                 runs ? to_ms(tokens * kv_bytes_per_token / kv_bytes_per_second)
                      : 0ms,
                 runs ? to_ms(left / rate) : 1h});
        }
        const auto steps =
            plan_evacuation(loop_.now(), loop_.now() + notice_, list);
        for (const auto& step : steps)
        {
            const auto number = open[step.stream];
            if (step.way == evacuation_way::move_kv)
            {
                const auto arrives =
                    step.start + list[step.stream].kv_move_time;
                loop_.at(arrives, [this, number] { arrive_by_kv(number); });
            }
            else if (step.way == evacuation_way::prefill)
            {
                loop_.at(step.start, [this, number] { go_on(number); });
            }
        }
    }

    static std::chrono::milliseconds to_ms(double seconds)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::duration<double>(seconds));
    }

    void arrive_by_kv(std::size_t number)
    {
        auto& stream = streams_[number];
        if (stream.is_done)
        {
            return;
        }
        stream.had = generated(stream);
        stream.lost_at = loop_.now();
        submit(number, {}, 0);
    }

    void go_on(std::size_t number)
    {
        auto& stream = streams_[number];
        if (stream.is_done)
        {
            return;
        }
        const double text = generated(stream);
        stream.lost_at = loop_.now();
        const bool anew = how_ == recovery::restart;
        // Text generated a second time counts like a prompt computed again.
        result_.recomputed += anew ? text : 0;
        result_.redone_seconds +=
            anew ? text / service_.servers.front().decode_tokens_per_second : 0;
        stream.had = anew ? 0 : text;
        submit(number, make_prefix_chain(stream.request->prompt),
               prompt_tokens(number) + stream.had);
    }

    protocol::service service_;
    recovery how_;
    std::chrono::seconds notice_;
    model_loop loop_;
    std::vector<std::unique_ptr<model_server>> servers_;
    std::vector<bool> leaving_;
    std::vector<modelled_stream> streams_;
    reclaim_result result_;
};

int run_reclaim(const bench_arguments& arguments)
{
    bool is_whole = true;
    for (const auto& user : todays_users())
    {
        const auto requests = make_requests(user, load, 60s, arguments.seed);
        for (const auto notice : {5s, 0s})
        {
            for (const auto how :
                 {recovery::planned, recovery::prefill_only, recovery::restart})
            {
                auto got = reclaim_run{user, how, notice}.run(requests);
                print_line("reclaim",
                           "user={} notice_s={} way={} streams={} hit={} "
                           "hit_whole={} recomputed_tokens={:.0f} "
                           "redone_seconds={:.1f} "
                           "stall_p50_ms={:.0f} "
                           "stall_p95_ms={:.0f}",
                           user.name, notice.count(),
                           recovery_names.at(static_cast<std::size_t>(how)),
                           got.streams, got.hit, got.hit_whole, got.recomputed,
                           got.redone_seconds, quantile_ms(got.stall, 0.5),
                           quantile_ms(got.stall, 0.95));
                is_whole = is_whole && (how != recovery::planned ||
                                        got.hit == got.hit_whole);
            }
        }
    }
    return is_whole ? 0 : 1;
}

const bench_registration registration{
    "reclaim", "a failure domain's servers go, with notice and without",
    run_reclaim};

} // namespace

} // namespace hyssopdeal::bench
