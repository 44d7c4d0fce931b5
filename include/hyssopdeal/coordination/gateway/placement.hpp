#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_PLACEMENT_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_PLACEMENT_HPP

/// @file
/// Which server a request goes to: the one with the earliest predicted first
/// event, weighed against what its prompt costs the requests beside it.
/// Answers bursts of long prompts, servers that fail part of their requests,
/// and prompts that share their beginnings. A decision module without I/O.
///
/// Index: [prompt] [settings] [server_load] [choice] [placement]

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/coordination/gateway/version_split.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [prompt] -------------------------------------------------------------------

/// One part of a prompt; equal ids have equal text.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What is known of a request's size before it runs.
struct prompt_size
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::vector<prompt_part> parts; ///< In order; the last is its own.
};

// [settings] -----------------------------------------------------------------

struct placement_settings
{
    double first_tokens_per_ms = 100; ///< Prefill, until it is measured.
    double request_ms = 60;           ///< Of a plain call, until measured.
    double other_domain_ms = 4;       ///< Cost of crossing domains.
    double believed_cache = 0.9;      ///< Chance that others have warmed the
                                      ///< server that a prompt belongs to.
    double disturbance = 0.02;        ///< Cost of a ms of prefill for each
                                      ///< request beside it.
    double reading_again = 0.1;       ///< Cost of a token of a shared part that
                                      ///< is not kept there, in ms: beside its
                                      ///< time, it takes memory elsewhere.
    double new_connection_ms = 10;    ///< Cost of opening one: the server's own
                                      ///< work, and a slot held meanwhile.
    double failure_ms = 400;          ///< Cost of a failed try.
    double first_held_ms = 500;       ///< Of a stream's slot, until measured.
    /// After a refusal without a time: about a slot of a dozen is free again
    /// while streams of a second or two run.
    std::chrono::milliseconds full_for{150};
    std::chrono::milliseconds cache_memory{60'000};
    std::chrono::milliseconds first_avoidance{500}; ///< After failures; twice
                                                    ///< as long each time.
    std::chrono::milliseconds longest_avoidance{8'000};
};

// [server_load] --------------------------------------------------------------

/// A server and what this entry knows of it.
struct known_server
{
    protocol::listed_server listed;
    bool usable = true;                     ///< Listed as ready; gets new work.
    bool said_leaving = false;              ///< In an answer to this entry.
    transport::monotonic_time last_heard{}; ///< An event to any request here.
    std::uint32_t running = 0;              ///< Of this entry.
    std::uint64_t waiting_tokens = 0;   ///< Of this entry, no first event yet.
    protocol::sent_load peer_load;      ///< Of all other entries.
    std::uint32_t reported_waiting = 0; ///< By the server's own count.
    transport::monotonic_time reported_at{};
    double slowness = 1;     ///< Observed to predicted, smoothed.
    double failure_rate = 0; ///< Smoothed.
    std::uint32_t failures_in_row = 0;
    transport::monotonic_time avoid_until{};
    /// The server asked for a pause, or had no room; unlike one that is avoided
    /// it gets nothing even when there is no other.
    transport::monotonic_time paused_until{};
    /// When it ends with whatever it still does, as far as it was told.
    std::optional<transport::monotonic_time> ends_at;
};

// [choice] -------------------------------------------------------------------

/// Where a request goes.
struct placement_choice
{
    std::shared_ptr<known_server> server;
    std::chrono::milliseconds predicted{0}; ///< To the first event.
    std::chrono::milliseconds predicted_unloaded{
        0}; ///< The same with nothing ahead.
    std::uint64_t uncached_tokens = 0;
    std::uint64_t waiting_tokens = 0; ///< Known to be ahead of it there.
    std::uint32_t prompt_tokens = 0;  ///< 0: no prompt.
};

// [placement] ----------------------------------------------------------------

/// All servers as one entry sees them.
class placement
{
public:
    placement(placement_settings settings, std::string failure_domain,
              std::uint64_t seed);

    /// Takes over the instance list. A server that is gone, draining, or has
    /// started again gets no new work as what it was.
    ///
    /// @param read When the list was read: times in it count from there.
    /// @return Servers that are no longer usable.
    std::vector<std::shared_ptr<known_server>>
    set_servers(const std::vector<protocol::listed_server>& servers,
                transport::monotonic_time read = {});

    /// Takes over how many entries are told the same loads.
    void set_gateway_count(std::size_t entries)
    {
        entries_ = entries;
    }

    /// Takes over what other entries have sent.
    void set_peer_loads(const std::map<std::string, protocol::sent_load>& load);

    /// Tells whether a connection to a server is open and free.
    using connection_probe = std::function<bool(const std::string& address)>;

    /// Chooses a server of a service.
    ///
    /// @param tried Ids of servers that are not to be used again.
    /// @param connected Empty: connections cost nothing.
    /// @param versions Of the servers that may get the request.
    /// @return Nothing when there is none.
    [[nodiscard]] std::optional<placement_choice>
    choose(transport::monotonic_time now, const std::string& service,
           const prompt_size& prompt, const std::set<std::string>& tried,
           const connection_probe& connected = {},
           const version_choice& versions = {});

    /// A request was sent to a chosen server.
    void on_sent(transport::monotonic_time now, const placement_choice& choice,
                 const prompt_size& prompt);

    /// The first event or the whole answer has come.
    void on_first_event(const placement_choice& choice,
                        std::chrono::milliseconds took);

    /// The request no longer runs there.
    ///
    /// @param first_event_seen Whether on_first_event was called.
    /// @param held How long it ran after its first event.
    void on_ended(const placement_choice& choice, bool first_event_seen,
                  std::chrono::milliseconds held = {});

    /// A server failed a request, or served one well.
    void on_failure(transport::monotonic_time now, known_server& server);
    /// A server could not be reached, or has fallen silent: the next requests
    /// would find the same.
    void on_unreachable(transport::monotonic_time now, known_server& server);
    void on_success(known_server& server);
    /// The server refused a request, as it has no room: those that come next
    /// would find the same.
    void on_full(transport::monotonic_time now, known_server& server);
    /// An answer said that the server ends soon: this lifetime of it gets no
    /// new work again.
    void on_leaving(known_server& server);
    /// The server wants no requests from this entry for so long.
    void on_pause(transport::monotonic_time now, known_server& server,
                  std::chrono::milliseconds pause);

    /// Takes over which servers other entries have seen leaving.
    void set_leaving(const protocol::leaving_servers& leaving);

    /// @return Listed servers that are ready by the list, but have told this
    ///     entry that they leave.
    [[nodiscard]] protocol::leaving_servers seen_leaving() const;

    /// @return In how long the first server that asked for a pause, or had no
    ///     room, takes requests again; nothing when there is none.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    remaining_pause(transport::monotonic_time now,
                    const std::string& service) const;

    /// @return What this entry has sent, by server id.
    [[nodiscard]] std::map<std::string, protocol::sent_load> own_load() const;

    /// @return How many usable servers a service has.
    [[nodiscard]] std::size_t usable(const std::string& service) const;

    [[nodiscard]] const std::map<std::string, std::shared_ptr<known_server>>&
    servers() const noexcept
    {
        return servers_;
    }

private:
    [[nodiscard]] std::uint64_t cached(transport::monotonic_time now,
                                       const known_server& server,
                                       const prompt_size& prompt) const;
    [[nodiscard]] double predict_ms(const known_server& server,
                                    const prompt_size& prompt,
                                    std::uint64_t uncached) const;
    void narrow(std::vector<std::shared_ptr<known_server>>& candidates,
                const std::shared_ptr<known_server>& home);
    [[nodiscard]] double alone_ms(const known_server& server,
                                  const prompt_size& prompt,
                                  std::uint64_t uncached) const;

    placement_settings settings_;
    std::string failure_domain_;
    std::mt19937_64 random_;
    std::uint64_t own_rank_;  ///< Draws this entry's own servers.
    std::size_t entries_ = 0; ///< That are told the same; 0: not known.
    /// How fast the engines of a service read prompts, as far as it was seen.
    struct prefill_speed
    {
        double tokens_per_ms = 0;
        std::uint32_t samples = 0;
    };

    [[nodiscard]] double speed_of(const known_server& server) const;
    void learn_speed(const placement_choice& choice, double prefill_ms);

    std::map<std::string, prefill_speed> speeds_; ///< By service.
    std::map<std::string, double> held_ms_; ///< How long a stream keeps its
                                            ///< slot, smoothed, by service.
    std::map<std::string, std::shared_ptr<known_server>> servers_; ///< By id.
    std::unordered_map<std::uint64_t, transport::monotonic_time>
        cache_; ///< Last use, by server and part.
};

} // namespace hyssopdeal::coordination

#endif
