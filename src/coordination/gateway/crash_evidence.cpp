/// @file
/// What one gateway sees of requests that crash servers.

#include <hyssopdeal/coordination/gateway/crash_evidence.hpp>

#include <algorithm>

#include <xxhash.h>

namespace hyssopdeal::coordination
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using transport::monotonic_time;

namespace
{

// A server that has crashed sends no event to other requests meanwhile.
constexpr milliseconds confirm_time{100};
// Covers an election, so that each new leader gets the evidence.
constexpr milliseconds report_time{8'000};
// Bound the memory of a gateway and the size of a report.
constexpr std::size_t max_parts = 16;
constexpr std::size_t max_broken = 64;
constexpr std::size_t max_answered = 20'000;

bool contains_all(const request_content& content, const protocol::part_ids& ids)
{
    return std::includes(content.ids.begin(), content.ids.end(), ids.begin(),
                         ids.end());
}

std::int64_t age_ms(monotonic_time now, monotonic_time then)
{
    return duration_cast<milliseconds>(now - then).count();
}

} // namespace

request_content::request_content(const transport::http_request& request,
                                 std::string_view organisation,
                                 const prompt_size& prompt)
{
    for (const auto text :
         {organisation, transport::find_header(request.headers, "Host"),
          std::string_view{request.method}, std::string_view{request.target},
          std::string_view{request.body}})
    {
        digest = XXH3_64bits_withSeed(text.data(), text.size(), digest);
    }
    const auto count = std::min(max_parts, prompt.parts.size());
    ids.reserve(count + 1);
    ids.push_back(digest);
    for (std::size_t index = 0; index < count; ++index)
    {
        ids.push_back(prompt.parts[index].id);
    }
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
}

void crash_evidence::on_broken(monotonic_time now, monotonic_time sent_at,
                               const std::shared_ptr<known_server>& server,
                               const request_content& content)
{
    if (broken_.size() >= max_broken)
    {
        broken_.pop_front();
    }
    broken_.push_back({now,
                       sent_at,
                       server,
                       {content.ids.begin(), content.ids.end()},
                       ++last_number_,
                       false});
}

void crash_evidence::on_answered(monotonic_time now,
                                 const request_content& content)
{
    for (const auto id : content.ids)
    {
        answered_[id] = now;
    }
    for (const auto& item : quarantine_)
    {
        if (contains_all(content, item.parts))
        {
            disproved_[item.parts] = now;
        }
    }
    if (answered_.size() > max_answered)
    {
        std::erase_if(answered_, [&](const auto& item) {
            return now - item.second >= protocol::crash_evidence_lifetime;
        });
    }
    if (answered_.size() > max_answered)
    {
        answered_.clear();
    }
}

void crash_evidence::set_orders(monotonic_time now,
                                const protocol::crash_orders& orders)
{
    suspects_changed_ = suspects_changed_ || suspects_ != orders.suspects;
    suspects_ = orders.suspects;
    quarantine_.clear();
    for (const auto& item : orders.quarantine)
    {
        if (!item.parts.empty())
        {
            quarantine_.push_back(
                {item.parts, now + milliseconds{item.remaining_ms}});
        }
    }
}

std::optional<milliseconds>
crash_evidence::quarantine_of(monotonic_time now,
                              const request_content& content) const
{
    for (const auto& item : quarantine_)
    {
        if (now < item.until && contains_all(content, item.parts))
        {
            return duration_cast<milliseconds>(item.until - now);
        }
    }
    return std::nullopt;
}

void crash_evidence::forget_old(monotonic_time now)
{
    std::erase_if(broken_, [&](const auto& item) {
        return now - item.broken_at >= report_time ||
               item.server->last_heard > item.broken_at;
    });
    std::erase_if(disproved_, [&](const auto& item) {
        return now - item.second >= report_time;
    });
}

bool crash_evidence::has_news(monotonic_time now) const
{
    return suspects_changed_ ||
           std::any_of(broken_.begin(), broken_.end(), [&](const auto& item) {
               return !item.reported && now - item.broken_at >= confirm_time;
           });
}

protocol::crash_report crash_evidence::report(monotonic_time now)
{
    forget_old(now);
    protocol::crash_report result;
    for (const auto& item : broken_)
    {
        if (now - item.broken_at < confirm_time)
        {
            continue;
        }
        const auto& listed = item.server->listed;
        result.broken.push_back({item.number, listed.id, listed.born,
                                 age_ms(now, item.sent_at),
                                 age_ms(now, item.broken_at), item.parts});
    }
    for (const auto id : suspects_)
    {
        if (const auto found = answered_.find(id); found != answered_.end())
        {
            result.answered[id] = age_ms(now, found->second);
        }
    }
    for (const auto& [parts, at] : disproved_)
    {
        result.disproved.push_back(parts);
    }
    return result;
}

void crash_evidence::mark_reported(monotonic_time now)
{
    suspects_changed_ = false;
    for (auto& item : broken_)
    {
        item.reported = item.reported || now - item.broken_at >= confirm_time;
    }
}

} // namespace hyssopdeal::coordination
