#include "stream_exchange.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include <hyssopdeal/transport/logging.hpp>

#include "entry_shard.hpp"

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::fail;
using transport::log_info;
using transport::log_part;
using transport::reason;
using transport::result;

namespace
{

constexpr milliseconds ask_time_limit{400};
constexpr milliseconds expire_interval{1'000};
constexpr std::size_t most_asked = 16;

/// Collects what the instances know of a stream, then takes it over where its
/// newest epoch is.
class stream_search : public std::enable_shared_from_this<stream_search>
{
public:
    using handler = std::function<void(result<stream_copy>)>;

    stream_search(entry_shard& shard, std::string stream,
                  std::string organisation, std::string owner, handler on_copy)
        : shard_(shard),
          stream_(std::move(stream)),
          organisation_(std::move(organisation)),
          owner_(std::move(owner)),
          on_copy_(std::move(on_copy))
    {}

    void start()
    {
        auto names = lookup_order(stream_, entry_members(shard_));
        names.resize(std::min(names.size(), most_asked));
        if (names.empty())
        {
            on_copy_(not_found());
            return;
        }
        awaited_ = names.size();
        for (const auto& name : names)
        {
            ask(name);
        }
    }

private:
    static result<stream_copy> not_found()
    {
        return fail(reason::not_found, "No such stream is known.");
    }

    [[nodiscard]] stream_question question(stream_question_kind kind) const
    {
        stream_question made;
        made.kind = kind;
        made.stream = stream_;
        made.organisation = organisation_;
        made.asker = owner_;
        return made;
    }

    void ask(const std::string& name)
    {
        ask_about_stream(shard_, name, question(stream_question_kind::find),
                         [self = shared_from_this(), name](const auto& answer) {
                             self->on_found(name, answer);
                         });
    }

    void on_found(const std::string& name, const result<stream_answer>& answer)
    {
        --awaited_;
        const bool is_newer =
            answer && (place_.empty() || answer->done.epoch > newest_.epoch ||
                       (answer->done.epoch == newest_.epoch &&
                        answer->done.copied_to > newest_.copied_to));
        if (is_newer)
        {
            place_ = name;
            newest_ = answer->done;
        }
        if (awaited_ == 0)
        {
            take();
        }
    }

    void take()
    {
        if (place_.empty())
        {
            on_copy_(not_found());
            return;
        }
        ask_about_stream(shard_, place_,
                         question(stream_question_kind::take_over),
                         [self = shared_from_this()](auto answer) {
                             self->on_taken(std::move(answer));
                         });
    }

    void on_taken(result<stream_answer> answer)
    {
        if (answer && answer->copy)
        {
            on_copy_(std::move(*answer->copy));
            return;
        }
        on_copy_(answer ? not_found() : tl::unexpected(answer.error()));
    }

    entry_shard& shard_;
    std::string stream_;
    std::string organisation_;
    std::string owner_;
    handler on_copy_;
    std::size_t awaited_ = 0;
    std::string place_;
    copy_answer newest_;
};

} // namespace

stream_exchange::stream_exchange(transport::event_loop& loop,
                                 const transport::clock& clock,
                                 protocol::peer_hub& hub,
                                 stream_copies_settings settings)
    : loop_(loop),
      clock_(clock),
      client_(loop),
      copies_(settings)
{
    hub.on_message(protocol::peer_channel::streams,
                   [this](const std::string&, const std::string& payload,
                          const auto& reply) {
                       const auto asked = decode_stream_question(payload);
                       reply(encode(asked ? answer(*asked)
                                          : tl::unexpected(asked.error())));
                   });
    expire();
}

stream_exchange::~stream_exchange() = default;

const stream_copies& stream_exchange::copies() const noexcept
{
    return copies_;
}

result<stream_answer> stream_exchange::answer(const stream_question& question)
{
    const auto now = clock_.monotonic_now();
    switch (question.kind)
    {
    case stream_question_kind::copy:
        return hold(question);
    case stream_question_kind::find:
        if (const auto* copy = copies_.find(question.stream))
        {
            return stream_answer{{copy->events.size(), copy->epoch}, {}};
        }
        return fail(reason::not_found, "There is no copy of the stream.");
    case stream_question_kind::take_over: {
        auto taken = copies_.take_over(now, question.stream,
                                       question.organisation, question.asker);
        if (!taken)
        {
            return tl::unexpected(taken.error());
        }
        log_info(log_part::stream, "A stream is taken over. stream={} epoch={}",
                 question.stream, taken->epoch);
        return stream_answer{{taken->events.size(), taken->epoch},
                             std::move(*taken)};
    }
    case stream_question_kind::close:
        copies_.close(question.stream, question.epoch);
        break;
    }
    return stream_answer{};
}

result<stream_answer> stream_exchange::hold(const stream_question& question)
{
    const auto now = clock_.monotonic_now();
    const auto& part = *question.copy;
    const auto opened =
        copies_.open(now, part.origin, question.asker, question.epoch);
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    const auto added = copies_.append(now, question.stream, question.epoch,
                                      {part.attempt, part.server, part.sequence,
                                       question.up_to, part.events});
    if (!added)
    {
        return tl::unexpected(added.error());
    }
    return stream_answer{*added, {}};
}

void stream_exchange::expire()
{
    for (const auto& abandoned : copies_.expire(clock_.monotonic_now()))
    {
        log_info(log_part::stream, "Nobody came for a stream. stream={}",
                 abandoned.origin.stream);
        cancel(abandoned);
    }
    timer_ = loop_.after(expire_interval, [this] { expire(); });
}

void stream_exchange::cancel(const stream_copy& abandoned)
{
    if (abandoned.server.empty())
    {
        return;
    }
    transport::http_request request;
    request.method = "DELETE";
    request.target = "/v1/attempts/" + to_string(abandoned.attempt);
    auto call = std::make_shared<transport::http_call>();
    *call =
        client_.fetch(abandoned.server, request, {}, [call](const auto&) {});
}

void ask_about_stream(entry_shard& shard, const std::string& instance,
                      const stream_question& question,
                      std::function<void(result<stream_answer>)> on_answer)
{
    shard.peers->call(
        instance, protocol::peer_channel::streams, encode(question),
        ask_time_limit,
        [handler = std::move(on_answer)](const result<std::string>& payload) {
            handler(payload ? decode_stream_answer(*payload)
                            : result<stream_answer>{
                                  tl::unexpected(payload.error())});
        });
}

std::vector<entry_member> entry_members(entry_shard& shard)
{
    const auto* view = shard.shared.members.load();
    if (view == nullptr || !shard.peers)
    {
        return {};
    }
    const auto& settings = shard.shared.settings;
    std::vector<entry_member> members{
        {settings.name, settings.failure_domain, entry_liveness::alive}};
    view->read([&](const member_view& known) {
        for (const auto& member : known.members)
        {
            if (member.kind == protocol::member_kind::entry &&
                member.name != settings.name)
            {
                members.push_back({member.name, member.failure_domain,
                                   member.usable ? entry_liveness::alive
                                                 : entry_liveness::leaving});
            }
        }
    });
    return members;
}

void take_stream_over(entry_shard& shard, const std::string& stream,
                      const std::string& organisation, const std::string& owner,
                      std::function<void(result<stream_copy>)> on_copy)
{
    std::make_shared<stream_search>(shard, stream, organisation, owner,
                                    std::move(on_copy))
        ->start();
}

} // namespace hyssopdeal::coordination
