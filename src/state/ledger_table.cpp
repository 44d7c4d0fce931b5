/// @file
/// The idempotency keys of all organisations.

#include "state/ledger_table.hpp"

#include "protocol/thrift_bytes.hpp"
#include "state/wire_fields.hpp"

namespace hyssopdeal::state
{

// [commands] -----------------------------------------------------------------

claim_result ledger_table::claim(log_index index, transport::wall_time at,
                                 const claim_key& command)
{
    const claim_id id{command.organisation, command.key};
    const auto found = claims_.find(id);
    if (found != claims_.end())
    {
        const auto& held = found->second.record;
        const bool resent =
            held.claimant == command.claimant && held.nonce == command.nonce;
        if (held.phase != claim_phase::released)
        {
            if (held.request_digest != command.request_digest)
            {
                return {claim_status::mismatch, held};
            }
            if (held.phase == claim_phase::finished)
            {
                return {claim_status::finished, held};
            }
            return {resent ? claim_status::granted : claim_status::open, held};
        }
        if (resent)
        {
            return {claim_status::open, held};
        }
        forget(id);
    }
    if (full(command.organisation))
    {
        return {claim_status::full, {}};
    }
    claim_record claim;
    claim.organisation = command.organisation;
    claim.key = command.key;
    claim.request_digest = command.request_digest;
    claim.claimant = command.claimant;
    claim.number = index;
    claim.nonce = command.nonce;
    claim.claimed_at = at;
    claim.dispatch_by = at + command.dispatch_limit;
    claim.expires_at = at + command.retention;
    insert(claim);
    return {claim_status::granted, claim};
}

write_result ledger_table::release(const release_claim& command)
{
    auto* found =
        find_number(command.organisation, command.key, command.number);
    if (found == nullptr)
    {
        return {write_status::missing, 0, "No such claim."};
    }
    auto* held = &found->record;
    if (held->phase == claim_phase::released)
    {
        return {write_status::unchanged, held->number, {}};
    }
    if (held->phase != claim_phase::open)
    {
        return {write_status::refused, held->number,
                "The claim has an outcome."};
    }
    held->phase = claim_phase::released;
    encode(*found);
    return {write_status::applied, held->number, {}};
}

write_result ledger_table::finish(const record_outcome& command)
{
    auto* found =
        find_number(command.organisation, command.key, command.number);
    if (found == nullptr)
    {
        return {write_status::missing, 0, "No such claim."};
    }
    auto* held = &found->record;
    if (held->phase == claim_phase::finished)
    {
        return {write_status::unchanged, held->number, {}};
    }
    if (held->phase != claim_phase::open)
    {
        return {write_status::refused, held->number, "The claim was released."};
    }
    held->phase = claim_phase::finished;
    held->outcome = command.outcome;
    if (held->outcome.body.size() > max_outcome_body_bytes)
    {
        held->outcome.body.resize(max_outcome_body_bytes);
        held->outcome.body_cut = true;
    }
    encode(*found);
    body_bytes_ += held->outcome.body.size();
    with_body_.emplace(held->number, claim_id{held->organisation, held->key});
    drop_old_bodies();
    return {write_status::applied, held->number, {}};
}

// [retention] ----------------------------------------------------------------

void ledger_table::expire(transport::wall_time now)
{
    while (!expiries_.empty() && expiries_.begin()->at <= now)
    {
        const claim_id id = expiries_.begin()->id;
        forget(id);
    }
}

void ledger_table::drop_old_bodies()
{
    while (body_bytes_ > bounds_.max_body_bytes && !with_body_.empty())
    {
        auto& held = claims_.at(with_body_.begin()->second);
        body_bytes_ -= held.record.outcome.body.size();
        held.record.outcome.body.clear();
        held.record.outcome.body_cut = true;
        encode(held);
        with_body_.erase(with_body_.begin());
    }
}

bool ledger_table::full(const std::string& organisation) const
{
    const auto own = by_organisation_.find(organisation);
    return claims_.size() >= bounds_.max_records ||
           (own != by_organisation_.end() &&
            own->second >= bounds_.max_organisation_records);
}

// [tables] -------------------------------------------------------------------

void ledger_table::insert(claim_record claim)
{
    claim_id id{claim.organisation, claim.key};
    expiries_.insert({claim.expires_at, id});
    ++by_organisation_[claim.organisation];
    held_claim held{std::move(claim), {}};
    encode(held);
    claims_.insert_or_assign(std::move(id), std::move(held));
}

void ledger_table::forget(const claim_id& id)
{
    const auto found = claims_.find(id);
    expiries_.erase({found->second.record.expires_at, id});
    if (with_body_.erase(found->second.record.number) > 0)
    {
        body_bytes_ -= found->second.record.outcome.body.size();
    }
    const auto own = by_organisation_.find(id.organisation);
    if (--own->second == 0)
    {
        by_organisation_.erase(own);
    }
    claims_.erase(found);
}

void ledger_table::restore(claim_record claim)
{
    const bool has_body =
        claim.phase == claim_phase::finished && !claim.outcome.body.empty();
    if (has_body)
    {
        body_bytes_ += claim.outcome.body.size();
        with_body_.emplace(claim.number,
                           claim_id{claim.organisation, claim.key});
    }
    insert(std::move(claim));
}

ledger_table::held_claim*
ledger_table::find_number(const std::string& organisation,
                          const std::string& key, std::uint64_t number)
{
    const auto found = claims_.find(claim_id{organisation, key});
    const bool same =
        found != claims_.end() && found->second.record.number == number;
    return same ? &found->second : nullptr;
}

const claim_record* ledger_table::find(std::string_view organisation,
                                       std::string_view key) const
{
    const auto found =
        claims_.find(claim_id{std::string{organisation}, std::string{key}});
    return found == claims_.end() ? nullptr : &found->second.record;
}

// [snapshots] ----------------------------------------------------------------

namespace
{

constexpr std::size_t length_bytes = sizeof(std::uint32_t);

void put_length(std::string& bytes, std::size_t length)
{
    for (std::size_t at = 0; at < length_bytes; ++at)
    {
        bytes.push_back(static_cast<char>(length >> (8 * at)));
    }
}

std::size_t take_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t at = 0; at < length_bytes; ++at)
    {
        const auto byte = static_cast<unsigned char>(bytes[at]);
        length |= static_cast<std::size_t>(byte) << (8 * at);
    }
    return length;
}

} // namespace

void ledger_table::encode(held_claim& claim)
{
    claim.encoded = protocol::to_bytes(to_wire(claim.record));
}

std::string ledger_table::encode_all() const
{
    std::size_t size = 0;
    for (const auto& [id, claim] : claims_)
    {
        size += length_bytes + claim.encoded.size();
    }
    std::string bytes;
    bytes.reserve(size);
    for (const auto& [id, claim] : claims_)
    {
        put_length(bytes, claim.encoded.size());
        bytes += claim.encoded;
    }
    return bytes;
}

bool ledger_table::restore_all(std::string_view bytes)
{
    while (!bytes.empty())
    {
        if (bytes.size() < length_bytes ||
            take_length(bytes) > bytes.size() - length_bytes)
        {
            return false;
        }
        const auto length = take_length(bytes);
        const auto wire = protocol::from_bytes<gen::claim_record>(
            bytes.substr(length_bytes, length));
        if (!wire)
        {
            return false;
        }
        restore(from_wire<claim_record>(*wire));
        bytes.remove_prefix(length_bytes + length);
    }
    return true;
}

} // namespace hyssopdeal::state
