#include "ctl/declaration_commands.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <hyssopdeal/protocol/contract_json.hpp>

#include "ctl/text_diff.hpp"

namespace hyssopdeal::ctl
{

namespace
{

using nlohmann::json;

constexpr int ok = 200;
constexpr int not_found = 404;

// A declaration as a file or a control replica has it.
struct declaration
{
    std::string name;
    std::string text;           ///< Canonical.
    std::uint64_t revision = 0; ///< 0: does not exist.
};

std::string_view kind_name(declaration_kind kind)
{
    return kind == declaration_kind::contract ? "contract" : "service";
}

std::string target_of(declaration_kind kind, std::string_view name)
{
    return fmt::format("/v1/{}s/{}", kind_name(kind), name);
}

transport::result<declaration> read_declaration(declaration_kind kind,
                                                std::string_view text,
                                                std::string_view file)
{
    declaration found;
    if (kind == declaration_kind::contract)
    {
        const auto contract = protocol::read_contract(text, file);
        if (!contract)
        {
            return tl::unexpected(contract.error());
        }
        found.name = contract->organisation;
        found.text = protocol::write_contract(*contract);
        return found;
    }
    const auto service = protocol::read_service(text, file);
    if (!service)
    {
        return tl::unexpected(service.error());
    }
    found.name = service->name;
    found.text = protocol::write_service(*service);
    return found;
}

transport::result<declaration> read_file(declaration_kind kind,
                                         const std::string& path)
{
    const auto text = protocol::read_text_file(path);
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    return read_declaration(kind, *text, path);
}

std::uint64_t revision_in(const std::string& body)
{
    const auto value = json::parse(body, nullptr, false);
    return value.is_object() ? value.value("revision", std::uint64_t{0}) : 0;
}

// Shares change with moves: a file's shares count only for a new service.
std::string without_shares(const std::string& text)
{
    auto service = protocol::read_service(text, "service");
    if (!service)
    {
        return text;
    }
    service->shares.clear();
    return protocol::write_service(*service);
}

std::string comparable(declaration_kind kind, const std::string& text)
{
    return kind == declaration_kind::service ? without_shares(text) : text;
}

// Reads what is in force; a name that is not there has revision 0.
transport::result<declaration> in_force(session& run, declaration_kind kind,
                                        const std::string& name)
{
    const auto answer = run.get(target_of(kind, name));
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    if (answer->status == not_found)
    {
        return declaration{name, "", 0};
    }
    if (answer->status != ok)
    {
        return transport::fail(transport::reason::broken_answer,
                               fmt::format("{}: answered {} {}",
                                           target_of(kind, name),
                                           answer->status, answer->body));
    }
    auto found = read_declaration(kind, answer->body, "the control replica");
    if (found)
    {
        found->revision = revision_in(answer->body);
    }
    return found;
}

exit_code apply_one(session& run, declaration_kind kind,
                    const std::string& path)
{
    const auto wanted = read_file(kind, path);
    if (!wanted)
    {
        return run.refuse(wanted.error().text);
    }
    const auto what = fmt::format("{} {}", kind_name(kind), wanted->name);
    const auto now = in_force(run, kind, wanted->name);
    if (!now)
    {
        return run.fail(now.error());
    }
    const bool resent = !run.options().order_id.empty();
    auto body = wanted->text;
    if (now->revision != 0)
    {
        body = comparable(kind, body);
        if (!resent && body == comparable(kind, now->text))
        {
            run.say(
                fmt::format("{}: unchanged, revision {}", what, now->revision));
            return exit_code::done;
        }
    }
    return run.finish(
        run.write("PUT", target_of(kind, wanted->name), body, now->revision),
        what);
}

exit_code diff_one(session& run, declaration_kind kind, const std::string& path)
{
    const auto wanted = read_file(kind, path);
    if (!wanted)
    {
        return run.refuse(wanted.error().text);
    }
    const auto now = in_force(run, kind, wanted->name);
    if (!now)
    {
        return run.fail(now.error());
    }
    const auto difference =
        text_diff(comparable(kind, now->text), comparable(kind, wanted->text));
    if (difference.empty())
    {
        run.say(
            fmt::format("{} {}: no difference", kind_name(kind), wanted->name));
        return exit_code::done;
    }
    run.say(fmt::format("{} {}: revision {} against {}", kind_name(kind),
                        wanted->name, now->revision, path));
    run.say(difference);
    return exit_code::differs;
}

exit_code get_one(session& run, declaration_kind kind, const std::string& name)
{
    const auto answer = run.get(target_of(kind, name));
    if (!answer)
    {
        return run.fail(answer.error());
    }
    const auto found =
        answer->status == ok
            ? read_declaration(kind, answer->body, "the control replica")
            : transport::fail(transport::reason::not_found, "");
    if (!found)
    {
        return run.report(*answer, name);
    }
    if (run.options().format == output_format::json)
    {
        run.show(answer->body);
        return exit_code::done;
    }
    run.say(fmt::format("// revision {}", revision_in(answer->body)));
    run.say(found->text.substr(0, found->text.size() - 1));
    return exit_code::done;
}

exit_code delete_one(session& run, declaration_kind kind,
                     const std::string& name)
{
    const auto now = in_force(run, kind, name);
    if (!now)
    {
        return run.fail(now.error());
    }
    const bool resent = !run.options().order_id.empty();
    if (now->revision == 0 && !resent)
    {
        run.say(fmt::format("{} {}: does not exist", kind_name(kind), name));
        return exit_code::failed;
    }
    return run.finish(
        run.write("DELETE", target_of(kind, name), "", now->revision),
        fmt::format("{} {} deleted", kind_name(kind), name));
}

exit_code list_all(session& run, declaration_kind kind)
{
    const auto answer = run.get(fmt::format("/v1/{}s", kind_name(kind)));
    if (!answer)
    {
        return run.fail(answer.error());
    }
    if (answer->status != ok)
    {
        return run.report(*answer, "list");
    }
    const bool contracts = kind == declaration_kind::contract;
    run.show(
        answer->body,
        contracts
            ? std::vector<std::string>{"organisation", "revision",
                                       "requests_per_second",
                                       "tokens_per_second",
                                       "concurrent_streams", "priority_ceiling"}
            : std::vector<std::string>{"name", "revision", "kind", "shares"});
    return exit_code::done;
}

using one_command = exit_code (*)(session&, declaration_kind,
                                  const std::string&);

exit_code run_each(session& run, declaration_kind kind, one_command command)
{
    const auto& words = run.options().words;
    constexpr std::size_t first_argument = 2;
    if (words.size() <= first_argument)
    {
        return run.refuse(fmt::format("{} {}: found no argument, allowed one "
                                      "or more",
                                      words[0], words[1]));
    }
    auto worst = exit_code::done;
    for (std::size_t at = first_argument; at < words.size(); ++at)
    {
        worst = std::max(worst, command(run, kind, words[at]));
    }
    return worst;
}

} // namespace

exit_code run_declaration_command(session& run, declaration_kind kind)
{
    const auto& words = run.options().words;
    const std::string command = words.size() > 1 ? words[1] : "";
    if (command == "list")
    {
        return list_all(run, kind);
    }
    if (command == "apply")
    {
        return run_each(run, kind, apply_one);
    }
    if (command == "diff")
    {
        return run_each(run, kind, diff_one);
    }
    if (command == "get")
    {
        return run_each(run, kind, get_one);
    }
    if (command == "delete")
    {
        return run_each(run, kind, delete_one);
    }
    return run.refuse(fmt::format("{}: found \"{}\", allowed apply, get, list, "
                                  "diff, delete",
                                  words[0], command));
}

} // namespace hyssopdeal::ctl
