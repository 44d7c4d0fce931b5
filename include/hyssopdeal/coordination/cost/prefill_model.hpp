#ifndef HYSSOPDEAL_COORDINATION_COST_PREFILL_MODEL_HPP
#define HYSSOPDEAL_COORDINATION_COST_PREFILL_MODEL_HPP

/// @file
/// Learns how long the servers of a service take to prefill a prompt. The time
/// grows faster than the number of tokens: each token attends to all before it.
/// Handles prompts of a few tokens beside ones of many thousand, for which one
/// mean speed is wrong by a factor of two either way. Performs no I/O.
///
/// Index: [prefill_model]

#include <array>
#include <map>
#include <string>

namespace hyssopdeal::coordination
{

// [prefill_model] ------------------------------------------------------------

/// First event after c0 + c1 x uncached tokens + c2 x pairs of tokens, by
/// service, as weighted least squares over the latest requests.
class prefill_model
{
public:
    /// Records the first event of a prompt that had no other one ahead.
    ///
    /// @param uncached Tokens that the server had to prefill.
    /// @param prompt All tokens.
    void learn(const std::string& service, double uncached, double prompt,
               double first_event_ms);

    /// @return Time to prefill on a server of mean speed, without the constant
    ///     part of the first event.
    [[nodiscard]] double prefill_ms(const std::string& service, double uncached,
                                    double prompt) const;

    /// @return The constant part of the time to the first event.
    [[nodiscard]] double overhead_ms(const std::string& service) const;

    /// @return Tokens per millisecond of the prompts seen, long and short.
    [[nodiscard]] double mean_speed(const std::string& service) const;

private:
    static constexpr std::size_t terms = 3;
    using vector = std::array<double, terms>;

    /// Normal equations of the least squares; each coefficient begins with the
    /// weight of a few requests.
    struct service_state
    {
        service_state();
        std::array<vector, terms> products{};
        vector results{};
        vector coefficients{};
        double tokens = 0;
        double ms = 0;
    };

    [[nodiscard]] static vector features(double uncached, double prompt);
    static void solve(service_state& state);
    [[nodiscard]] const service_state&
    state_of(const std::string& service) const;

    std::map<std::string, service_state> services_; ///< By name.
    service_state unknown_;
};

} // namespace hyssopdeal::coordination

#endif
