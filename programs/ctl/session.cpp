#include "ctl/session.hpp"

#include <random>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ctl/json_table.hpp"

namespace hyssopdeal::ctl
{

namespace
{

using nlohmann::json;

constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int conflict_status = 409;
constexpr int failed_precondition = 412;
constexpr std::chrono::milliseconds poll_interval{200};

std::string random_id()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(),
                       device());
}

control_client_settings client_settings(const ctl_options& options)
{
    control_client_settings settings;
    settings.addresses = options.settings.control;
    settings.token = options.token;
    settings.time_limit = options.time_limit;
    return settings;
}

bool succeeded(const control_answer& answer)
{
    return answer.status >= first_success && answer.status < first_redirect;
}

// Those that have not applied an index yet, as `name (state, applied N)`.
std::string missing_members(const json& applied, std::uint64_t index)
{
    std::string text;
    for (const auto& member : applied.value("members", json::array()))
    {
        const auto at = member.value("applied", std::uint64_t{0});
        if (at < index)
        {
            text += fmt::format(
                "{}{} ({}, applied {})", text.empty() ? "" : ", ",
                member.value("name", "?"), member.value("state", "?"), at);
        }
    }
    return text.empty() ? "nobody named" : text;
}

} // namespace

session::session(const ctl_options& options, const transport::clock& clock,
                 command_output& output)
    : options_(options),
      clock_(clock),
      output_(output),
      order_id_(options.order_id.empty() ? random_id() : options.order_id),
      client_(clock, client_settings(options))
{}

transport::result<control_answer> session::get(std::string target)
{
    control_order order;
    order.target = std::move(target);
    return client_.send(order);
}

transport::result<control_answer>
session::write(std::string method, std::string target, std::string body,
               std::optional<std::uint64_t> expected)
{
    control_order order;
    order.method = std::move(method);
    order.target = std::move(target);
    order.body = std::move(body);
    // Each write of a run has an id of its own that follows from the run's.
    order.order_id =
        writes_ == 0 ? order_id_ : fmt::format("{}-{}", order_id_, writes_);
    ++writes_;
    order.expected = options_.expected ? options_.expected : expected;
    return client_.send(order);
}

exit_code session::finish(const transport::result<control_answer>& answer,
                          const std::string& what)
{
    if (!answer)
    {
        return fail(answer.error());
    }
    if (!succeeded(*answer))
    {
        return report(*answer, what);
    }
    say(fmt::format("{}: accepted at index {}", what, answer->index));
    if (options_.wait)
    {
        return wait_in_force(answer->index);
    }
    if (options_.format == output_format::json)
    {
        show(fmt::format("{{\"index\":{},\"record\":{}}}", answer->index,
                         answer->body.empty() ? "null" : answer->body));
    }
    return exit_code::done;
}

exit_code session::wait_in_force(std::uint64_t index)
{
    const auto until = clock_.monotonic_now() + *options_.wait;
    json applied = json::object();
    while (true)
    {
        const auto answer = get(fmt::format("/v1/applied?index={}", index));
        if (answer && succeeded(*answer))
        {
            applied = json::parse(answer->body, nullptr, false);
        }
        if (applied.is_object() && applied.value("in_force", false))
        {
            say(fmt::format("in force on all {}",
                            applied.value("members", json::array()).size()));
            show(options_.format == output_format::json ? applied.dump() : "");
            return exit_code::done;
        }
        if (clock_.monotonic_now() >= until)
        {
            break;
        }
        pause();
    }
    output_.errors += fmt::format(
        "Accepted at index {}, not in force everywhere: missing {}.\n", index,
        applied.is_object() ? missing_members(applied, index) : "nobody named");
    return exit_code::not_everywhere;
}

exit_code session::fail(const transport::failure& failure)
{
    if (failure.ran == transport::verdict::not_run)
    {
        output_.errors += failure.text + " (not_run)\n";
        return exit_code::unreachable;
    }
    output_.errors +=
        fmt::format("{} (may_have_run) Send it again with --order-id {}\n",
                    failure.text, order_id_);
    return exit_code::may_have_run;
}

exit_code session::refuse(const std::string& text)
{
    output_.errors += text + '\n';
    return exit_code::bad_usage;
}

exit_code session::report(const control_answer& answer, const std::string& what)
{
    if (answer.status == conflict_status ||
        answer.status == failed_precondition)
    {
        output_.errors +=
            fmt::format("{}: another write won; in force now:\n", what);
        show(answer.body);
        return exit_code::conflict;
    }
    const auto body = json::parse(answer.body, nullptr, false);
    const bool named = body.is_object() && body.contains("error");
    output_.errors += fmt::format(
        "{}: {} {}\n", what, answer.status,
        named ? fmt::format("{}: {}", body["error"].value("reason", "?"),
                            body["error"].value("text", ""))
              : answer.body);
    return exit_code::failed;
}

void session::say(const std::string& line)
{
    if (options_.format == output_format::text)
    {
        output_.text += line + '\n';
    }
}

void session::show(const std::string& json_text,
                   const std::vector<std::string>& keys)
{
    if (json_text.empty())
    {
        return;
    }
    output_.text += options_.format == output_format::json
                        ? json_text + '\n'
                        : json_table(json_text, keys);
}

void session::pause()
{
    std::this_thread::sleep_for(poll_interval);
}

} // namespace hyssopdeal::ctl
