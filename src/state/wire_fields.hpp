#ifndef HYSSOPDEAL_SRC_STATE_WIRE_FIELDS_HPP
#define HYSSOPDEAL_SRC_STATE_WIRE_FIELDS_HPP

/// @file
/// The Thrift struct and the fields of each record and command. Internal.
///
/// Index: [enums] [fields]

#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/state/declarations.hpp>
#include <hyssopdeal/state/records.hpp>

#include "state/wire_mapping.hpp"
#include "state_types.h"

namespace hyssopdeal::state
{

// [enums] --------------------------------------------------------------------

template <>
struct last_enumerator<protocol::priority_class>
{
    static constexpr auto value = protocol::priority_class::batch;
};

template <>
struct last_enumerator<protocol::service_kind>
{
    static constexpr auto value = protocol::service_kind::plain;
};

template <>
struct last_enumerator<protocol::repeatability>
{
    static constexpr auto value = protocol::repeatability::at_most_once;
};

template <>
struct last_enumerator<protocol::price_class>
{
    static constexpr auto value = protocol::price_class::on_demand;
};

template <>
struct last_enumerator<move_phase>
{
    static constexpr auto value = move_phase::cancelled;
};

template <>
struct last_enumerator<purchase_phase>
{
    static constexpr auto value = purchase_phase::released;
};

template <>
struct last_enumerator<leaving_source>
{
    static constexpr auto value = leaving_source::scale_in;
};

template <>
struct last_enumerator<claim_phase>
{
    static constexpr auto value = claim_phase::released;
};

template <>
struct last_enumerator<replica_role>
{
    static constexpr auto value = replica_role::voter;
};

template <>
struct last_enumerator<write_status>
{
    static constexpr auto value = write_status::refused;
};

template <>
struct last_enumerator<claim_status>
{
    static constexpr auto value = claim_status::full;
};

template <>
struct last_enumerator<removal_kind>
{
    static constexpr auto value = removal_kind::leaving;
};

// [fields] -------------------------------------------------------------------

template <>
struct wire_fields<fencing_token>
{
    using wire = gen::fencing_token;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.term, b.term);
        copy(a.counter, b.counter);
    }
};

template <>
struct wire_fields<protocol::organisation_contract>
{
    using wire = gen::organisation_contract;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.organisation, b.organisation);
        copy(a.key_sha256, b.key_sha256);
        copy(a.services, b.services);
        copy(a.requests_per_second, b.requests_per_second);
        copy(a.request_burst, b.request_burst);
        copy(a.tokens_per_second, b.tokens_per_second);
        copy(a.token_burst, b.token_burst);
        copy(a.concurrent_streams, b.concurrent_streams);
        copy(a.priority_ceiling, b.priority_ceiling);
        copy(a.first_token_target, b.first_token_target_ms);
        copy(a.retry_ratio, b.retry_ratio);
    }
};

template <>
struct wire_fields<protocol::route>
{
    using wire = gen::route;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.name, b.name);
        copy(a.method, b.method);
        copy(a.path_prefix, b.path_prefix);
        copy(a.repeats, b.repeats);
        copy(a.priority, b.priority);
        copy(a.time_limit, b.time_limit_ms);
    }
};

template <>
struct wire_fields<protocol::backend_server>
{
    using wire = gen::backend_server;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.name, b.name);
        copy(a.address, b.address);
        copy(a.failure_domain, b.failure_domain);
        copy(a.version, b.version);
        copy(a.slots, b.slots);
        copy(a.prefill_tokens_per_second, b.prefill_tokens_per_second);
        copy(a.decode_tokens_per_second, b.decode_tokens_per_second);
        copy(a.price, b.price);
        copy(a.price_per_hour, b.price_per_hour);
        copy(a.checks_orders, b.checks_orders);
    }
};

template <>
struct wire_fields<protocol::version_share>
{
    using wire = gen::version_share;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.version, b.version);
        copy(a.share, b.share);
    }
};

template <>
struct wire_fields<protocol::service>
{
    using wire = gen::service_declaration;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.name, b.name);
        copy(a.kind, b.kind);
        copy(a.routes, b.routes);
        copy(a.servers, b.servers);
        copy(a.shares, b.shares);
        copy(a.first_token_target, b.first_token_target_ms);
    }
};

template <>
struct wire_fields<contract_record>
{
    using wire = gen::contract_record;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.contract, b.contract);
        copy(a.changed, b.changed);
    }
};

template <>
struct wire_fields<service_record>
{
    using wire = gen::service_record;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.service, b.declaration);
        copy(a.changed, b.changed);
    }
};

template <>
struct wire_fields<move_order>
{
    using wire = gen::move_order;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.service, b.service_name);
        copy(a.version, b.version);
        copy(a.complete_by, b.complete_by_ms);
        copy(a.largest_canary_share, b.largest_canary_share);
        copy(a.watch, b.watch_ms);
        copy(a.order_id, b.order_id);
    }
};

template <>
struct wire_fields<move_status>
{
    using wire = gen::move_status;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.phase, b.phase);
        copy(a.step, b.step);
        copy(a.share, b.share);
        copy(a.step_since, b.step_since_ms);
        copy(a.expected_at, b.expected_at_ms);
        copy(a.evidence, b.evidence);
        copy(a.waits_for, b.waits_for);
    }
};

template <>
struct wire_fields<move_record>
{
    using wire = gen::move_record;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.order, b.order);
        copy(a.before, b.before);
        copy(a.ordered_at, b.ordered_at_ms);
        copy(a.status, b.status);
        copy(a.ordered, b.ordered);
        copy(a.changed, b.changed);
    }
};

template <>
struct wire_fields<purchase_record>
{
    using wire = gen::purchase_record;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.order_id, b.order_id);
        copy(a.failure_domain, b.failure_domain);
        copy(a.service, b.service_name);
        copy(a.version, b.version);
        copy(a.price, b.price);
        copy(a.phase, b.phase);
        copy(a.instance, b.instance);
        copy(a.address, b.address);
        copy(a.ordered_at, b.ordered_at_ms);
        copy(a.changed, b.changed);
    }
};

template <>
struct wire_fields<leaving_record>
{
    using wire = gen::leaving_record;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.instance, b.instance);
        copy(a.source, b.source);
        copy(a.incarnation, b.incarnation);
        copy(a.since, b.since_ms);
        copy(a.gone_at, b.gone_at_ms);
        copy(a.changed, b.changed);
    }
};

template <>
struct wire_fields<evacuation_record>
{
    using wire = gen::evacuation_record;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.failure_domain, b.failure_domain);
        copy(a.since, b.since_ms);
        copy(a.ended_at, b.ended_ms);
        copy(a.changed, b.changed);
    }
};

template <>
struct wire_fields<limit_grant>
{
    using wire = gen::limit_grant;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.entry, b.entry);
        copy(a.requests_per_second, b.requests_per_second);
        copy(a.tokens_per_second, b.tokens_per_second);
        copy(a.concurrent_streams, b.concurrent_streams);
        copy(a.expires_at, b.expires_at_ms);
    }
};

template <>
struct wire_fields<grant_record>
{
    using wire = gen::grant_record;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.organisation, b.organisation);
        copy(a.grants, b.grants);
        copy(a.changed, b.changed);
    }
};

template <>
struct wire_fields<outcome_header>
{
    using wire = gen::outcome_header;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.name, b.name);
        copy(a.value, b.value);
    }
};

template <>
struct wire_fields<call_outcome>
{
    using wire = gen::call_outcome;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.status, b.status);
        copy(a.headers, b.headers);
        copy(a.body, b.body);
        copy(a.body_cut, b.body_cut);
    }
};

template <>
struct wire_fields<claim_record>
{
    using wire = gen::claim_record;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.organisation, b.organisation);
        copy(a.key, b.key);
        copy(a.request_digest, b.request_digest);
        copy(a.claimant, b.claimant);
        copy(a.number, b.number);
        copy(a.nonce, b.nonce);
        copy(a.phase, b.phase);
        copy(a.claimed_at, b.claimed_at_ms);
        copy(a.dispatch_by, b.dispatch_by_ms);
        copy(a.expires_at, b.expires_at_ms);
        copy(a.outcome, b.outcome);
    }
};

template <>
struct wire_fields<replica_member>
{
    using wire = gen::replica_member;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.id, b.id);
        copy(a.name, b.name);
        copy(a.address, b.address);
        copy(a.operators, b.operators);
        copy(a.failure_domain, b.failure_domain);
        copy(a.role, b.role);
    }
};

template <>
struct wire_fields<replica_set>
{
    using wire = gen::replica_set;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.members, b.members);
        copy(a.next_id, b.next_id);
    }
};

template <>
struct wire_fields<put_contract>
{
    using wire = gen::put_contract;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.contract, b.contract);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<delete_contract>
{
    using wire = gen::delete_contract;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.organisation, b.organisation);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<put_service>
{
    using wire = gen::put_service;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.service, b.declaration);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<delete_service>
{
    using wire = gen::delete_service;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.service, b.service_name);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<order_move>
{
    using wire = gen::order_move;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.order, b.order);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<update_move>
{
    using wire = gen::update_move;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.service, b.service_name);
        copy(a.status, b.status);
        copy(a.shares, b.shares);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<set_shares>
{
    using wire = gen::set_shares;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.service, b.service_name);
        copy(a.shares, b.shares);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<cancel_move>
{
    using wire = gen::cancel_move;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.service, b.service_name);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<allocate_fence>
{
    using wire = gen::allocate_fence;

    template <class Direction, class Record, class Wire>
    static void map(const Direction&, Record&, Wire&)
    {}
};

template <>
struct wire_fields<order_purchase>
{
    using wire = gen::order_purchase;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.purchase, b.purchase);
    }
};

template <>
struct wire_fields<update_purchase>
{
    using wire = gen::update_purchase;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.order_id, b.order_id);
        copy(a.phase, b.phase);
        copy(a.instance, b.instance);
        copy(a.address, b.address);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<set_leaving>
{
    using wire = gen::set_leaving;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.instance, b.instance);
        copy(a.source, b.source);
        copy(a.incarnation, b.incarnation);
        copy(a.gone_at, b.gone_at_ms);
    }
};

template <>
struct wire_fields<clear_leaving>
{
    using wire = gen::clear_leaving;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.instance, b.instance);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<order_evacuation>
{
    using wire = gen::order_evacuation;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.failure_domain, b.failure_domain);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<withdraw_evacuation>
{
    using wire = gen::withdraw_evacuation;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.failure_domain, b.failure_domain);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<set_grants>
{
    using wire = gen::set_grants;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.organisation, b.organisation);
        copy(a.grants, b.grants);
        copy(a.expected, b.expected);
    }
};

template <>
struct wire_fields<claim_key>
{
    using wire = gen::claim_key;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.organisation, b.organisation);
        copy(a.key, b.key);
        copy(a.request_digest, b.request_digest);
        copy(a.claimant, b.claimant);
        copy(a.nonce, b.nonce);
        copy(a.dispatch_limit, b.dispatch_limit_ms);
        copy(a.retention, b.retention_ms);
    }
};

template <>
struct wire_fields<release_claim>
{
    using wire = gen::release_claim;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.organisation, b.organisation);
        copy(a.key, b.key);
        copy(a.number, b.number);
    }
};

template <>
struct wire_fields<record_outcome>
{
    using wire = gen::record_outcome;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.organisation, b.organisation);
        copy(a.key, b.key);
        copy(a.number, b.number);
        copy(a.outcome, b.outcome);
    }
};

template <>
struct wire_fields<write_result>
{
    using wire = gen::write_result;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.status, b.status);
        copy(a.now, b.now);
        copy(a.text, b.text);
    }
};

template <>
struct wire_fields<fence_result>
{
    using wire = gen::fence_result;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.token, b.token);
    }
};

template <>
struct wire_fields<purchase_result>
{
    using wire = gen::purchase_result;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.status, b.status);
        copy(a.purchase, b.purchase);
    }
};

template <>
struct wire_fields<claim_result>
{
    using wire = gen::claim_result;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.status, b.status);
        copy(a.claim, b.claim);
    }
};

template <>
struct wire_fields<removal>
{
    using wire = gen::removal;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.kind, b.kind);
        copy(a.name, b.name);
        copy(a.changed, b.changed);
    }
};

} // namespace hyssopdeal::state

#endif
