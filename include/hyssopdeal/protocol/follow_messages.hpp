#ifndef HYSSOPDEAL_PROTOCOL_FOLLOW_MESSAGES_HPP
#define HYSSOPDEAL_PROTOCOL_FOLLOW_MESSAGES_HPP

/// @file
/// What entries and control replicas of a cluster tell each other several
/// times a second, and how a replica joins.
///
/// Index: [versions] [crashes] [rate_limits] [cold_servers] [brittle_services]
///     [relays] [reserves] [pressure] [report] [orders] [tokens] [joining]
///     [encoding]

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [versions] -----------------------------------------------------------------

/// How a service's requests are shared between a new version and those before.
struct version_order
{
    std::string target;            ///< The new version.
    std::int64_t started_ms = 0;   ///< Tells one order from the next.
    bool running = false;          ///< Else the move has ended.
    double target_share = 0;       ///< Of the requests, 0 to 1.
    std::uint64_t target_most = 0; ///< While it runs, for this entry in all.
    std::set<std::string> retired; ///< Versions that get no requests any more.

    bool operator==(const version_order&) const = default;
};

/// What one entry saw of a move since the move's start or its own.
struct version_counts
{
    std::int64_t started_ms = 0;   ///< Of the order that is counted for.
    std::uint64_t sent = 0;        ///< To all versions.
    std::uint64_t target_sent = 0; ///< Of these, to the new one.
    std::uint64_t others_ended = 0;
    std::uint64_t others_bad = 0; ///< Failed or broken.
    std::uint64_t target_ended = 0;
    std::uint64_t target_bad = 0;
};

// [crashes] ------------------------------------------------------------------

/// Ids of parts of a prompt, and a digest of the request that has it.
using part_ids = std::set<std::uint64_t>;

/// How long entries and replicas remember under which prompts servers crashed
/// and which were answered.
constexpr std::chrono::minutes crash_evidence_lifetime{5};

/// A request that had no event when the connection to its server broke.
struct broken_prompt
{
    std::uint64_t number = 0; ///< Counted by the entry; tells repeats.
    std::string server;
    std::uint64_t born = 0; ///< The server's start.
    std::int64_t sent_age_ms = 0;
    std::int64_t broken_age_ms = 0;
    part_ids parts;
};

/// What one entry saw of requests that may crash servers.
struct crash_report
{
    std::vector<broken_prompt> broken; ///< Latest ones, repeated for a while.
    /// Age of the latest first event of a request with a suspected part, in ms.
    std::map<std::uint64_t, std::int64_t> answered;
    std::vector<part_ids> disproved; ///< Quarantined, but answered.
};

/// Requests with all of these parts are refused.
struct prompt_quarantine
{
    part_ids parts;
    std::int64_t remaining_ms = 0;
};

/// What the leader tells entries of requests that crash servers.
struct crash_orders
{
    part_ids suspects; ///< Entries report when they were answered.
    std::vector<prompt_quarantine> quarantine;
};

// [rate_limits] --------------------------------------------------------------

/// How long entries and replicas remember that a limit has ended, so that an
/// older statement does not bring it back.
constexpr std::chrono::seconds ended_limit_lifetime{10};

/// What a server's responses said last of the requests that it takes from all
/// entries together.
struct stated_rate_limit
{
    std::uint64_t born = 0; ///< The server's start.
    double per_s = 0;       ///< 0: the limit has ended.
    /// Since the response that named the limit; since the request of the one
    /// that showed its end.
    std::int64_t age_ms = 0;
};

using stated_rate_limits = std::map<std::string, stated_rate_limit>; ///< By id.

/// What an entry tells of servers with a rate limit.
struct rate_limit_report
{
    stated_rate_limits stated; ///< That the leader does not know.
    /// Requests that it expects to send before its next reports, beyond the
    /// permits that it holds, by server.
    std::map<std::string, std::uint32_t> wanted;
};

/// What the leader tells an entry of them.
struct rate_limit_orders
{
    stated_rate_limits stated; ///< All.
    /// Requests that the entry may send, by server.
    std::map<std::string, std::uint32_t> permits;
    std::int64_t permits_valid_ms = 0; ///< Since the entry sent its report.
};

// [cold_servers] -------------------------------------------------------------

/// A server's response said that the server is cold.
struct cold_statement
{
    std::uint64_t born = 0;        ///< The server's start.
    std::int64_t remaining_ms = 0; ///< Until it is no longer cold.
    std::int64_t age_ms = 0;       ///< Since the response.
};

using cold_statements = std::map<std::string, cold_statement>; ///< By id.

/// What an entry tells of cold servers.
struct cold_report
{
    cold_statements stated; ///< By responses to this entry.
    /// Requests that it expects to send before its next reports, beyond the
    /// permits that it holds, by server.
    std::map<std::string, std::uint32_t> wanted;
};

/// What the leader tells an entry of them.
struct cold_orders
{
    cold_statements stated; ///< By responses to any entry.
    /// Requests that the entry may send, by server.
    std::map<std::string, std::uint32_t> permits;
    std::int64_t permits_valid_ms = 0; ///< Since the entry sent its report.
};

// [brittle_services] ---------------------------------------------------------

/// How long it counts for other entries that a server has said that it is
/// brittle.
constexpr std::chrono::seconds brittle_statement_lifetime{3};

/// What the servers of a service said last of the requests that they can reject.
struct brittle_service
{
    double rejections_per_s = 0; ///< More of them make a server fall over.
    std::int64_t age_ms = 0;     ///< Since the response.
};

using brittle_services = std::map<std::string, brittle_service>; ///< By name.

// [relays] -------------------------------------------------------------------

/// What an entry tells of connections that are relayed between entries.
struct relay_report
{
    std::string address;      ///< Of its relay, `IP:port`; empty: none.
    bool partitioned = false; ///< From all servers: it cannot help others.
    std::vector<std::string> helpers; ///< Relays that it was told of.
};

// [reserves] -----------------------------------------------------------------

/// Tokens of an organisation that an entry holds for the time in which no
/// leader answers.
struct organisation_reserve
{
    double held = 0;     ///< After `returned` was taken out.
    double wanted = 0;   ///< In all.
    double returned = 0; ///< With this report.
};

/// The reserves of an entry; only in reports to the leader.
struct reserve_report
{
    std::uint64_t number = 0; ///< Of the report; 0: it has no reserves.
    std::map<std::string, organisation_reserve> by_organisation;
};

/// What an entry holds after the leader's answer, by organisation.
struct reserve_orders
{
    std::uint64_t number = 0; ///< Of the report that is answered.
    std::map<std::string, double> tokens;
    /// Organisations that used their whole quota of late; the entry returns
    /// what it holds of them.
    std::set<std::string> exhausted;
};

// [pressure] -----------------------------------------------------------------

/// What an entry counted of a service's first attempts since its last report.
struct rank_pressure
{
    std::uint64_t asked = 0; ///< Not refused by an ordered share.
    std::uint64_t late = 0;  ///< Of these, refused for lack of room.
    double turn = 0;         ///< Share that the entry refuses.
};

/// By service, then by rank.
using service_pressures =
    std::map<std::string, std::map<std::uint32_t, rank_pressure>>;
/// Shares of requests to refuse, by service, then by rank.
using service_turns = std::map<std::string, std::map<std::uint32_t, double>>;

// [work] ---------------------------------------------------------------------

/// What an entry counted of a service's streams since it started.
struct service_work
{
    std::uint64_t requests = 0;    ///< Placed for the first time.
    std::uint64_t prefill_ms = 0;  ///< Predicted for these, summed.
    std::uint64_t prefill_ms2 = 0; ///< Squares, summed.
    std::uint64_t target_ms = 0;   ///< Targets of these, summed.
    std::uint64_t ended = 0;       ///< Served, or refused for lack of capacity.
    std::uint64_t late = 0;        ///< Of those that ended.

    service_work& operator+=(const service_work& other);
    service_work& operator-=(const service_work& other);
};

/// By service.
using service_works = std::map<std::string, service_work>;

// [report] -------------------------------------------------------------------

/// Requests that began to run in a window of true time.
struct usage_count
{
    std::uint64_t window = 0;
    std::map<std::string, std::uint64_t> counts; ///< By organisation.
};

/// What one entry has sent to a server.
struct sent_load
{
    std::uint32_t running = 0;        ///< Not answered to the end.
    std::uint64_t waiting_tokens = 0; ///< Of prompts without a first event.
    std::uint64_t writing =
        0; ///< Events that streams are expected to have yet.
};

/// Servers that have told that they leave: when each was born, by id, as a
/// later server may have the same id.
using leaving_servers = std::map<std::string, std::uint64_t>;

/// Loads by server id; only servers to which something was sent.
using sent_loads = std::map<std::string, sent_load>;

/// Takes loads out of a sum; servers to which nothing is sent any more go.
void subtract(sent_loads& from, const sent_loads& sent);

/// What an entry tells.
struct entry_report
{
    std::string entry;             ///< Name of the instance.
    std::uint64_t incarnation = 0; ///< Drawn at each start.
    std::string failure_domain;
    std::uint64_t document_version = 0; ///< In force here; 0: none.
    bool wants_document = false; ///< A newer one, in this answer. A document
                                 ///< may be large, and every replica answers.
    std::uint64_t listing_digest = 0;      ///< Of the list held here.
    std::int64_t shares_held_ms = 0;       ///< They may be used for so long.
    std::map<std::string, double> shares;  ///< Held, by organisation.
    std::map<std::string, double> demand;  ///< Tokens/s, by organisation.
    std::vector<usage_count> usage;        ///< Of the latest windows.
    std::map<std::string, sent_load> load; ///< By server id.
    std::map<std::string, version_counts> moves; ///< By service, while moved.
    std::vector<std::string> evidence; ///< Encoded reports on versions.
    leaving_servers leaving; ///< By their answers; the list shows them later.
    crash_report crashes;
    rate_limit_report rate_limits;
    cold_report cold;
    brittle_services brittle; ///< By responses to this entry.
    relay_report relay;
    std::uint64_t evacuation_revision = 0; ///< In force here; 0: none.
    reserve_report reserves;
    service_pressures pressure; ///< Only in reports to the leader.
    service_works work;
};

// [orders] -------------------------------------------------------------------

/// The platform's instance list, as one replica read it.
struct server_listing
{
    std::uint64_t digest = 0; ///< Of the servers.
    std::vector<listed_server> servers;
    /// True time, Unix ms, of the first reading that showed these servers.
    std::int64_t read_ms = 0;
};

/// The leader's list, for a replica that asks with the digest of its own.
struct listing_answer
{
    std::int64_t age_ms = -1;              ///< -1: no list was read.
    std::optional<server_listing> listing; ///< When it differs.
};

/// What a replica answers an entry.
struct entry_orders
{
    /// Whether this replica leads and no other can: only then do validity,
    /// shares and time count.
    bool leads = false;
    std::uint64_t leader_term = 0; ///< Of this leader; tells leaders apart.
    std::uint64_t document_version = 0;
    std::optional<std::string> packed_document; ///< When it was wanted.
    std::int64_t listing_age_ms = -1;           ///< -1: no list was read.
    std::optional<server_listing> listing;      ///< When the entry's differs;
                                                ///< from the next.
    std::string packed_listing;                 ///< As pack_listing() wrote it.
    std::int64_t true_time_ms = 0;        ///< Median of the replicas' clocks.
    std::vector<std::string> replicas;    ///< Hub addresses.
    std::map<std::string, double> shares; ///< Granted, by organisation.
    std::map<std::string, sent_load> others_load; ///< Of all other entries;
                                                  ///< from the next two.
    /// By all entries, as pack_load() wrote it: the same bytes for each entry.
    std::string packed_load;
    std::map<std::string, sent_load> own_load; ///< Of these, by the asking one.
    std::uint32_t entries = 0; ///< That report, and are told the same loads.
    /// Until this replica wants the entry's next report.
    std::int64_t next_report_ms = 0;
    std::map<std::string, version_order> moves; ///< By service.
    leaving_servers leaving;                    ///< By answers to any entry.
    crash_orders crashes;                       ///< Of the leader.
    rate_limit_orders rate_limits;              ///< Of the leader.
    cold_orders cold;                           ///< Of the leader.
    brittle_services brittle;                   ///< By responses to any entry.
    /// Of the asking one, below `entries`; sent along with `brittle`.
    std::uint32_t entry_number = 0;
    /// Relays through which the entry reaches servers when it cannot itself.
    std::vector<std::string> helpers;
    /// Number of changes of the evacuated failure domains; the highest counts,
    /// whichever replica answers.
    std::uint64_t evacuation_revision = 0;
    std::set<std::string> evacuated; ///< Their servers get no requests.
    reserve_orders reserves;         ///< Of the leader.
    service_turns turns;             ///< Of the leader.
};

// [tokens] -------------------------------------------------------------------

/// An entry lacks tokens of an organisation's quota for one request.
struct token_request
{
    std::string organisation;
    double tokens = 0;
};

struct token_answer
{
    bool granted = false;
    std::int64_t wait_ms = 0; ///< Until they could be, when not granted.
};

// [joining] ------------------------------------------------------------------

/// A replica tells that it runs.
struct join_message
{
    std::uint64_t id = 0; ///< 0: it needs one.
    std::string address;  ///< Of its hub.
    std::string operators;
    std::string failure_domain;
};

/// Where a replica stands, as the asked one knows.
enum class join_state : std::uint8_t
{
    unknown, ///< The asked one does not lead; see `leader`.
    next_id, ///< Draw an id from `next_id` on.
    joining, ///< Not a member yet, and may become one.
    member,  ///< A member.
    removed  ///< The id will never be a member again.
};

struct join_answer
{
    join_state state = join_state::unknown;
    std::string leader; ///< Hub address; empty: unknown.
    std::uint64_t next_id = 0;
    std::vector<std::string> replicas; ///< Hub addresses.
};

// [encoding] -----------------------------------------------------------------

[[nodiscard]] std::string encode(const entry_report& value);
[[nodiscard]] std::string encode(const entry_orders& value);
[[nodiscard]] std::string encode(const listing_answer& value);
[[nodiscard]] std::string encode(const token_request& value);
[[nodiscard]] std::string encode(const token_answer& value);
[[nodiscard]] std::string encode(const join_message& value);
[[nodiscard]] std::string encode(const join_answer& value);

/// @return The message, or `corrupt`.
[[nodiscard]] transport::result<entry_report>
decode_entry_report(std::string_view bytes);
[[nodiscard]] transport::result<entry_orders>
decode_entry_orders(std::string_view bytes);
[[nodiscard]] transport::result<listing_answer>
decode_listing_answer(std::string_view bytes);
[[nodiscard]] transport::result<token_request>
decode_token_request(std::string_view bytes);
[[nodiscard]] transport::result<token_answer>
decode_token_answer(std::string_view bytes);
[[nodiscard]] transport::result<join_message>
decode_join_message(std::string_view bytes);
[[nodiscard]] transport::result<join_answer>
decode_join_answer(std::string_view bytes);

/// @return Loads or a listing as bytes that are written once for many entries.
[[nodiscard]] std::string
pack_load(const std::map<std::string, sent_load>& loads);
[[nodiscard]] std::string pack_listing(const server_listing& listing);

/// @return The text in fewer bytes: a document with a thousand routes has 400 kB
///     and many entries fetch it at once.
[[nodiscard]] std::string pack_text(std::string_view text);

/// @return The text, or `corrupt`.
[[nodiscard]] transport::result<std::string>
unpack_text(std::string_view packed);

/// @return A digest by which equal lists are known.
[[nodiscard]] std::uint64_t
digest_of(const std::vector<listed_server>& servers);

} // namespace hyssopdeal::protocol

#endif
