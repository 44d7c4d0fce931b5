#include "behaviour.hpp"

#include <limits>

namespace hyssopdeal::standins
{

namespace
{

constexpr std::int64_t max_count = std::numeric_limits<std::int32_t>::max();
constexpr std::chrono::hours max_time{1};

std::vector<protocol::choice_name<version_fault>> fault_names()
{
    std::vector<protocol::choice_name<version_fault>> names;
    for (const auto value :
         {version_fault::none, version_fault::fails, version_fault::slow,
          version_fault::broken, version_fault::empty, version_fault::stalls,
          version_fault::garbled, version_fault::refuses})
    {
        names.push_back({value, to_string(value)});
    }
    return names;
}

} // namespace

const char* to_string(version_fault value) noexcept
{
    switch (value)
    {
    case version_fault::none:
        return "none";
    case version_fault::fails:
        return "fails";
    case version_fault::slow:
        return "slow";
    case version_fault::broken:
        return "broken";
    case version_fault::empty:
        return "empty";
    case version_fault::stalls:
        return "stalls";
    case version_fault::garbled:
        return "garbled";
    case version_fault::refuses:
        return "refuses";
    }
    return "none";
}

void describe(protocol::settings_fields& fields, engine_behaviour& value)
{
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    constexpr double max_factor = 10'000;
    constexpr auto none = milliseconds{0};
    fields.choice("fault", value.fault, fault_names());
    fields.text("fault_on_version", value.fault_on_version);
    fields.integer("fault_after_requests", value.fault_after_requests, 0,
                   max_count);
    fields.integer("fault_above_running", value.fault_above_running, 0,
                   max_count);
    fields.text("fault_on_path", value.fault_on_path);
    fields.text("fault_on_text", value.fault_on_text);
    fields.integer("fault_every", value.fault_every, 1, max_count);
    fields.real("slow_factor", value.slow_factor, 1, max_factor);
    fields.integer("duplicate_every", value.duplicate_every, 0, max_count);
    fields.integer("swap_every", value.swap_every, 0, max_count);
    fields.integer("skip_every", value.skip_every, 0, max_count);
    fields.integer("foreign_every", value.foreign_every, 0, max_count);
    fields.duration<microseconds::rep, microseconds::period>(
        "token_interval_us", value.token_interval, none, max_time);
    fields.duration<microseconds::rep, microseconds::period>(
        "prefill_per_token_us", value.prefill_per_token, none, max_time);
    fields.duration<milliseconds::rep, milliseconds::period>(
        "load_report_lag_ms", value.load_report_lag, none, max_time);
    fields.duration<milliseconds::rep, milliseconds::period>(
        "cache_event_lag_ms", value.cache_event_lag, none, max_time);
    fields.integer("cache_event_gap_every", value.cache_event_gap_every, 0,
                   max_count);
    fields.duration<milliseconds::rep, milliseconds::period>(
        "load_time_ms", value.load_time, none, max_time);
    fields.integer("kv_bytes_per_ms", value.kv_bytes_per_ms, 1, max_count);
}

void describe(protocol::settings_fields& fields, plain_behaviour& value)
{
    using std::chrono::milliseconds;
    fields.choice("fault", value.fault, fault_names());
    fields.text("fault_on_path", value.fault_on_path);
    fields.integer("fault_every", value.fault_every, 1, max_count);
    fields.duration<milliseconds::rep, milliseconds::period>(
        "work_time_ms", value.work_time, milliseconds{0}, max_time);
}

} // namespace hyssopdeal::standins
