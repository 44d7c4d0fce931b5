#include <hyssopdeal/coordination/version_observer.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

struct version_observer::impl
{
    std::string entry;
    std::uint64_t incarnation = 0;
    transport::monotonic_time since{};
    std::map<std::string, version_report, std::less<>> open;
    std::map<std::string, std::uint64_t, std::less<>> sequences;

    version_report& report_of(std::string_view service)
    {
        const auto found = open.find(service);
        if (found != open.end())
        {
            return found->second;
        }
        auto& made = open[std::string{service}];
        made.entry = entry;
        made.incarnation = incarnation;
        made.service = service;
        return made;
    }

    static version_cell& cell_of(version_report& report,
                                 std::string_view version,
                                 std::string_view route, load_bucket load)
    {
        const auto found =
            std::find_if(report.cells.begin(), report.cells.end(),
                         [&](const version_cell& cell) {
                             return cell.load == load &&
                                    cell.version == version &&
                                    cell.route == route;
                         });
        if (found != report.cells.end())
        {
            return *found;
        }
        auto& made = report.cells.emplace_back();
        made.version = version;
        made.route = route;
        made.load = load;
        return made;
    }
};

version_observer::version_observer(std::string entry, std::uint64_t incarnation,
                                   transport::monotonic_time now)
    : impl_{std::make_unique<impl>()}
{
    impl_->entry = std::move(entry);
    impl_->incarnation = incarnation;
    impl_->since = now;
}

version_observer::version_observer(version_observer&&) noexcept = default;
version_observer::~version_observer() = default;

void version_observer::on_offered(std::string_view service,
                                  protocol::priority_class priority)
{
    auto& report = impl_->report_of(service);
    ++report.offered_requests;
    if (priority == protocol::priority_class::interactive)
    {
        ++report.interactive_requests;
    }
}

void version_observer::on_first_token(std::string_view service,
                                      std::string_view version,
                                      std::string_view route, load_bucket load,
                                      std::chrono::microseconds after)
{
    auto& report = impl_->report_of(service);
    impl::cell_of(report, version, route, load).first_token.add(after);
}

void version_observer::on_token_gap(std::string_view service,
                                    std::string_view version,
                                    std::string_view route, load_bucket load,
                                    std::chrono::microseconds mean_gap)
{
    auto& report = impl_->report_of(service);
    impl::cell_of(report, version, route, load).between_tokens.add(mean_gap);
}

void version_observer::on_answer(const version_observation& seen)
{
    auto& report = impl_->report_of(seen.service);
    report.busy += seen.busy;
    auto& cell = impl::cell_of(report, seen.version, seen.route, seen.load);
    ++cell.requests;
    cell.failed += seen.answer == answer_kind::failed ? 1 : 0;
    cell.broken += seen.answer == answer_kind::broken ? 1 : 0;
    cell.empty += seen.answer == answer_kind::empty ? 1 : 0;
    if (seen.between_tokens.count() > 0)
    {
        cell.between_tokens.add(seen.between_tokens);
    }
}

std::vector<version_report>
version_observer::take_reports(transport::monotonic_time now)
{
    std::vector<version_report> reports;
    for (auto& [service, report] : impl_->open)
    {
        report.sequence = ++impl_->sequences[service];
        report.period = std::chrono::duration_cast<std::chrono::microseconds>(
            now - impl_->since);
        reports.push_back(std::move(report));
    }
    impl_->open.clear();
    impl_->since = now;
    return reports;
}

} // namespace hyssopdeal::coordination
