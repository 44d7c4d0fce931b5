#include <hyssopdeal/coordination/outlier_detector.hpp>

#include <algorithm>
#include <vector>

namespace hyssopdeal::coordination
{

namespace
{

struct server_record
{
    std::uint32_t consecutive_failures = 0;
    std::uint32_t ejections = 0; ///< Since the last success.
    transport::monotonic_time ejected_until{};
};

} // namespace

struct outlier_detector::impl
{
    outlier_settings settings;
    std::vector<server_record> servers;

    [[nodiscard]] std::uint32_t max_ejected() const
    {
        const auto by_fraction =
            static_cast<std::uint32_t>(static_cast<double>(servers.size()) *
                                       settings.max_ejected_fraction);
        // At least one server always stays available.
        const auto others = static_cast<std::uint32_t>(servers.size() - 1);
        return std::min(std::max(by_fraction, 1U), others);
    }

    void eject(transport::monotonic_time now, server_record& record)
    {
        constexpr std::uint32_t max_doublings = 10;
        const auto doublings = std::min(record.ejections, max_doublings);
        const auto time = settings.base_ejection_time * (1U << doublings);
        record.ejected_until = now + std::min(time, settings.max_ejection_time);
        record.consecutive_failures = 0;
        ++record.ejections;
    }
};

outlier_detector::outlier_detector(outlier_settings settings)
    : impl_(std::make_unique<impl>(impl{settings, {}}))
{}

outlier_detector::outlier_detector(outlier_detector&&) noexcept = default;
outlier_detector&
outlier_detector::operator=(outlier_detector&&) noexcept = default;
outlier_detector::~outlier_detector() = default;

void outlier_detector::resize(std::uint32_t servers)
{
    impl_->servers.resize(servers);
}

void outlier_detector::forget(server_index server)
{
    impl_->servers.at(server) = {};
}

bool outlier_detector::on_outcome(transport::monotonic_time now,
                                  server_index server, attempt_outcome outcome)
{
    auto& record = impl_->servers.at(server);
    if (outcome == attempt_outcome::succeeded)
    {
        record.consecutive_failures = 0;
        record.ejections = 0;
        return false;
    }
    ++record.consecutive_failures;
    if (record.consecutive_failures < impl_->settings.failure_threshold ||
        record.ejected_until > now || ejected(now) >= impl_->max_ejected())
    {
        return false;
    }
    impl_->eject(now, record);
    return true;
}

bool outlier_detector::is_ejected(transport::monotonic_time now,
                                  server_index server) const
{
    return server < impl_->servers.size() &&
           impl_->servers[server].ejected_until > now;
}

std::uint32_t outlier_detector::ejected(transport::monotonic_time now) const
{
    return static_cast<std::uint32_t>(std::count_if(
        impl_->servers.begin(), impl_->servers.end(),
        [now](const auto& record) { return record.ejected_until > now; }));
}

} // namespace hyssopdeal::coordination
