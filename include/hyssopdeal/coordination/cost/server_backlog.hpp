#ifndef HYSSOPDEAL_COORDINATION_COST_SERVER_BACKLOG_HPP
#define HYSSOPDEAL_COORDINATION_COST_SERVER_BACKLOG_HPP

/// @file
/// Estimates the work that a server still has to do, from what gateways report
/// that they have sent and from what the server's responses state. Handles
/// statements that are missing, old or false. Performs no I/O.
///
/// Index: [stated_load] [server_backlog]

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <hyssopdeal/coordination/cost/server_speed.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>

namespace hyssopdeal::coordination
{

// [stated_load] --------------------------------------------------------------

/// A server's load as its response states it.
struct stated_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::optional<std::uint32_t> slowdown_percent;
};

/// Parses `running,waiting,slots` and an optional fourth number.
///
/// @return Nothing if the text is malformed.
[[nodiscard]] std::optional<stated_load>
parse_stated_load(std::string_view text);

// [server_backlog] -----------------------------------------------------------

/// Work left at a server, without the request in question.
struct work_left
{
    double requests = 0;      ///< Running and waiting.
    double prompt_tokens = 0; ///< Not read.
    double events = 0;        ///< Not written.
};

/// A statement is used only while predictions with it are at least as good as
/// those without.
class server_backlog
{
public:
    void on_stated(transport::monotonic_time now,
                   const protocol::listed_server& server,
                   const stated_load& load);
    /// Records that this gateway sent the server a request.
    void on_sent(const protocol::listed_server& server);

    /// Records how long a request took that was predicted both ways.
    void on_outcome(const protocol::listed_server& server, double actual_ms,
                    double by_statement_ms, double by_reports_ms);

    /// @return The work known from reports.
    [[nodiscard]] static work_left reported(const protocol::sent_load& own,
                                            const protocol::sent_load& peers);

    /// @return The work with the latest statement taken into account; nothing
    ///     if there is none that is recent.
    [[nodiscard]] std::optional<work_left>
    stated(transport::monotonic_time now, const protocol::listed_server& server,
           const protocol::sent_load& own,
           const protocol::sent_load& peers) const;

    /// @return Whether statements of this server are to be used.
    [[nodiscard]] bool trusted(const protocol::listed_server& server) const;

private:
    /// Moving means of the logarithm of actual to predicted time.
    struct prediction_errors
    {
        double outcomes = 0;
        double by_statement = 0;
        double by_reports = 0;
    };
    struct server_state
    {
        std::uint64_t born = 0;
        stated_load load;
        transport::monotonic_time at{};
        bool known = false;
        std::uint32_t sent_since = 0; ///< By this gateway.
        prediction_errors errors;
    };
    server_state& state_of(const protocol::listed_server& server);

    lru_map<server_state> servers_;       ///< By id.
    lru_map<prediction_errors> services_; ///< By name.
};

} // namespace hyssopdeal::coordination

#endif
