/// @file
/// The operators' HTTP API: writes.

#include <fmt/format.h>

#include <hyssopdeal/coordination/evacuation/evacuation_orders.hpp>
#include <hyssopdeal/protocol/contract_json.hpp>

#include "coordination/control_api.hpp"
#include "coordination/control_api_call.hpp"
#include "coordination/control_json.hpp"

namespace hyssopdeal::coordination
{

using transport::find_header;
using transport::reason;
using transport::verdict;

namespace
{

/// Order of a move as operators write it.
struct move_body
{
    std::string version;
    transport::wall_time complete_by{};
    double largest_canary_share = 0.01;
    std::chrono::milliseconds watch{300'000};
};

void describe(protocol::settings_fields& fields, move_body& value)
{
    using protocol::presence;
    fields.text("version", value.version, protocol::text_rule::name,
                presence::required);
    fields.instant("complete_by_ms", value.complete_by, presence::required);
    fields.real("largest_canary_share", value.largest_canary_share, 0.000'001,
                1);
    fields.duration("watch_ms", value.watch, std::chrono::milliseconds{0},
                    std::chrono::milliseconds{86'400'000});
}

/// A replica to add as operators write it.
struct replica_body
{
    state::replica_member member;
};

void describe(protocol::settings_fields& fields, replica_body& value)
{
    using protocol::presence;
    using protocol::text_rule;
    fields.text("name", value.member.name, text_rule::name, presence::required);
    fields.text("address", value.member.address, text_rule::address,
                presence::required);
    fields.text("operators", value.member.operators, text_rule::address);
    fields.text("failure_domain", value.member.failure_domain, text_rule::name);
}

transport::failure not_found()
{
    return {verdict::not_run, reason::not_found, "No such path or method."};
}

} // namespace

// [routing] ------------------------------------------------------------------

void control_api::write(const call& asked)
{
    const auto kind = asked.part(1);
    const bool named = asked.parts.size() == 3 && !asked.part(2).empty();
    if (find_header(asked.request.headers, "Hyssopdeal-Order-Id").empty())
    {
        return asked.refuse({verdict::not_run, reason::bad_request,
                             "Hyssopdeal-Order-Id is needed."});
    }
    if (kind == "contracts" && named)
    {
        return write_contract(asked);
    }
    if (kind == "services" && named)
    {
        return write_service(asked);
    }
    if (kind == "moves" && named)
    {
        return write_move(asked);
    }
    if (kind == "instances" && asked.part(3) == "drain")
    {
        return drain_instance(asked);
    }
    if (kind == "evacuations" && named)
    {
        return write_evacuation(asked);
    }
    if (kind == "replicas" && named)
    {
        return change_replicas(asked);
    }
    asked.refuse(not_found());
}

// [declarations] -------------------------------------------------------------

void control_api::write_contract(const call& asked)
{
    const auto expected =
        call::number(find_header(asked.request.headers, "If-Match"));
    if (!expected)
    {
        return asked.refuse({verdict::not_run, reason::bad_request,
                             "If-Match: REVISION is needed."});
    }
    if (asked.request.method == "DELETE")
    {
        return propose(asked, state::delete_contract{asked.part(2), *expected});
    }
    auto contract = protocol::read_contract(asked.request.body, "body");
    if (asked.request.method != "PUT")
    {
        return asked.refuse(not_found());
    }
    if (!contract)
    {
        return asked.refuse(contract.error());
    }
    if (contract->organisation != asked.part(2))
    {
        return asked.refuse({verdict::not_run, reason::bad_request,
                             "The path names another organisation."});
    }
    propose(asked, state::put_contract{std::move(*contract), *expected});
}

void control_api::write_service(const call& asked)
{
    const auto expected =
        call::number(find_header(asked.request.headers, "If-Match"));
    if (!expected)
    {
        return asked.refuse({verdict::not_run, reason::bad_request,
                             "If-Match: REVISION is needed."});
    }
    if (asked.request.method == "DELETE")
    {
        return propose(asked, state::delete_service{asked.part(2), *expected});
    }
    auto service = protocol::read_service(asked.request.body, "body");
    if (asked.request.method != "PUT")
    {
        return asked.refuse(not_found());
    }
    if (!service)
    {
        return asked.refuse(service.error());
    }
    if (service->name != asked.part(2))
    {
        return asked.refuse({verdict::not_run, reason::bad_request,
                             "The path names another service."});
    }
    propose(asked, state::put_service{std::move(*service), *expected});
}

// [orders] -------------------------------------------------------------------

void control_api::write_move(const call& asked)
{
    const auto expected =
        call::number(find_header(asked.request.headers, "If-Match"));
    if (!expected)
    {
        return asked.refuse({verdict::not_run, reason::bad_request,
                             "If-Match: REVISION is needed."});
    }
    if (asked.request.method == "DELETE")
    {
        return propose(asked, state::cancel_move{asked.part(2), *expected});
    }
    if (asked.request.method != "POST")
    {
        return asked.refuse(not_found());
    }
    const auto body =
        protocol::read_settings<move_body>(asked.request.body, "body");
    if (!body)
    {
        return asked.refuse(body.error());
    }
    state::order_move order;
    order.order = {
        asked.part(2),
        body->version,
        body->complete_by,
        body->largest_canary_share,
        body->watch,
        std::string{find_header(asked.request.headers, "Hyssopdeal-Order-Id")}};
    order.expected = *expected;
    propose(asked, std::move(order));
}

void control_api::drain_instance(const call& asked)
{
    if (asked.request.method != "POST" || asked.part(2).empty())
    {
        return asked.refuse(not_found());
    }
    propose(asked,
            state::set_leaving{
                asked.part(2), state::leaving_source::operator_order, 0, {}});
}

/// If-Match may be missing: an order that is repeated, or given while another
/// operator gives the same one, must not be refused for a revision.
void control_api::write_evacuation(const call& asked)
{
    const auto& method = asked.request.method;
    if (method != "PUT" && method != "DELETE")
    {
        return asked.refuse(not_found());
    }
    auto expected = state::any_revision;
    const auto text = find_header(asked.request.headers, "If-Match");
    if (!text.empty())
    {
        const auto number = call::number(text);
        if (!number)
        {
            return asked.refuse({verdict::not_run, reason::bad_request,
                                 "If-Match: REVISION, or none, is allowed."});
        }
        expected = *number;
    }
    const auto& domain = asked.parts[2];
    const auto known =
        check_domain(known_domains(access_.state().tables(),
                                   access_.members().table().entries()),
                     domain);
    if (!known)
    {
        return asked.refuse(known.error());
    }
    if (method == "PUT")
    {
        return propose(asked, state::order_evacuation{domain, expected});
    }
    propose(asked, state::withdraw_evacuation{domain, expected});
}

void control_api::change_replicas(const call& asked)
{
    const auto id = call::number(asked.part(2));
    if (!id || *id == 0)
    {
        return asked.refuse({verdict::not_run, reason::bad_request,
                             "A replica's id is a number from 1."});
    }
    const auto answer = [this, asked](const auto& result) {
        if (!result)
        {
            return asked.refuse(result.error());
        }
        asked.answer(200, {{"replicas", log_json_of(access_.status())}},
                     result->index);
    };
    state::replica_member member;
    member.id = *id;
    if (asked.request.method == "DELETE")
    {
        return access_.change(replica_change::remove, member, answer);
    }
    if (asked.request.method != "POST")
    {
        return asked.refuse(not_found());
    }
    const auto body =
        protocol::read_settings<replica_body>(asked.request.body, "body");
    if (!body)
    {
        return asked.refuse(body.error());
    }
    member = body->member;
    member.id = *id;
    access_.change(replica_change::add_learner, member, answer);
}

// [proposing] ----------------------------------------------------------------

void control_api::propose(const call& asked, state::command_body body)
{
    state::command command;
    command.order_id =
        std::string{find_header(asked.request.headers, "Hyssopdeal-Order-Id")};
    command.body = body;
    access_.propose(std::move(command),
                    [this, asked, body = std::move(body)](auto result) {
                        if (!result)
                        {
                            return asked.refuse(result.error());
                        }
                        answer_write(asked, *result, body);
                    });
}

void control_api::answer_write(const call& asked,
                               const state::command_result& result,
                               const state::command_body& body) const
{
    const auto& written = std::get<state::write_result>(result.body);
    auto shown =
        asked.record(access_.state().tables()).value_or(json::object());
    if (std::holds_alternative<state::set_leaving>(body))
    {
        const auto& leaving = access_.state().tables().leaving;
        const auto found = leaving.find(asked.part(2));
        shown =
            found == leaving.end() ? json::object() : to_json(found->second);
    }
    // A repeated evacuation is in force where the first one is. Entries hear of
    // the repeat's own index only when they ask next, seconds later.
    const bool evacuation =
        std::holds_alternative<state::order_evacuation>(body) ||
        std::holds_alternative<state::withdraw_evacuation>(body);
    const bool repeated = evacuation && written.now != 0 &&
                          written.status == state::write_status::unchanged;
    switch (written.status)
    {
    case state::write_status::applied:
    case state::write_status::unchanged:
        return asked.answer(200, shown, repeated ? written.now : result.index);
    case state::write_status::conflict:
        return asked.answer(409, shown, result.index);
    case state::write_status::missing:
        return asked.refuse(
            {verdict::not_run, reason::not_found, written.text});
    case state::write_status::refused:
        return asked.refuse(
            {verdict::not_run, reason::bad_request, written.text});
    }
}

} // namespace hyssopdeal::coordination
