/// @file
/// `limits`: how much of an organisation's limit its requests get when they
/// come unevenly to the entries, and whether the limit is ever passed.

#include "bench.hpp"
#include "request_model.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>

#include <hyssopdeal/coordination/grant_holder.hpp>

namespace hyssopdeal::bench
{

namespace
{

using namespace coordination;
using namespace std::chrono_literals;

/// How the limit is split among the entries.
enum class split_kind : std::uint8_t
{
    grants,      ///< Floors and grants.
    equal_split, ///< Each entry has the same fixed part.
    whole_each   ///< Each entry applies the whole limit.
};

constexpr std::array<std::string_view, 3> split_names{"grants", "equal_split",
                                                      "whole_each"};

protocol::organisation_contract make_contract()
{
    protocol::organisation_contract contract;
    contract.organisation = "orchard";
    contract.requests_per_second = 90;
    contract.request_burst = 90;
    contract.tokens_per_second = 1e9;
    contract.token_burst = 1e9;
    return contract;
}

floor_settings floors_of(split_kind split)
{
    switch (split)
    {
    case split_kind::grants:
        return {0.25, entry_instances};
    case split_kind::equal_split:
        return {1, entry_instances};
    case split_kind::whole_each:
        break;
    }
    return {1, 1};
}

struct limits_result
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    double overshoot = 0; ///< Requests beyond burst and rate.
};

/// Nine entries and, for grants, an allocator that two of them lose for a time.
class limits_run
{
public:
    explicit limits_run(split_kind split)
        : split_(split),
          allocator_(clock_.monotonic_now(), 1, settings())
    {
        const auto contract = make_contract();
        allocator_.set_contracts({contract});
        for (std::size_t i = 0; i < entry_instances; ++i)
        {
            limits_.push_back(std::make_unique<limiter>(floors_of(split)));
            limits_.back()->set_contracts(clock_.monotonic_now(), {contract},
                                          bucket_start::empty);
            holders_.emplace_back(
                grant_holder_settings{"e" + std::to_string(i), 1s});
        }
    }

    limits_result run(std::chrono::seconds duration, std::uint64_t seed)
    {
        std::mt19937_64 random{seed};
        const auto contract = make_contract();
        // 1.5 times the limit, 60 % of it at one entry that changes.
        const double per_step = contract.requests_per_second * 1.5 * 0.01;
        std::poisson_distribution<int> arrivals{per_step};
        double level = contract.request_burst;
        std::uint64_t before = 0;
        for (auto at = 0ms; at < duration; at += 10ms)
        {
            clock_.advance(10ms);
            exchange(at);
            const auto busy =
                static_cast<std::size_t>(at / 20s) % entry_instances;
            for (int i = arrivals(random); i > 0; --i)
            {
                const auto entry =
                    random() % 10 < 6 ? busy : random() % entry_instances;
                admit(entry);
            }
            // A bucket with the whole limit: below empty is overshoot.
            level = std::min(level + contract.requests_per_second * 0.01,
                             contract.request_burst) -
                    static_cast<double>(result_.admitted - before);
            before = result_.admitted;
            result_.overshoot = std::max(result_.overshoot, -level);
        }
        return result_;
    }

private:
    static grant_settings settings()
    {
        grant_settings made;
        made.floors = floors_of(split_kind::grants);
        return made;
    }

    void admit(std::size_t entry)
    {
        ++result_.offered;
        result_.admitted +=
            limits_[entry]->admit(clock_.monotonic_now(), "orchard", {}) ? 1
                                                                         : 0;
    }

    void exchange(std::chrono::milliseconds at)
    {
        if (split_ != split_kind::grants)
        {
            return;
        }
        const bool cut = at % 60s > 40s;
        const auto now = clock_.monotonic_now();
        for (std::size_t i = 0; i < entry_instances; ++i)
        {
            const auto request = holders_[i].next_request(now, *limits_[i]);
            if (!request)
            {
                continue;
            }
            if (cut && i < 2)
            {
                holders_[i].on_no_answer(now);
                continue;
            }
            holders_[i].on_answer(now, allocator_.on_request(now, *request),
                                  *limits_[i]);
        }
    }

    split_kind split_;
    transport::manual_clock clock_;
    grant_allocator allocator_;
    std::vector<std::unique_ptr<limiter>> limits_;
    std::vector<grant_holder> holders_;
    limits_result result_;
};

int run_limits(const bench_arguments& arguments)
{
    const std::chrono::seconds duration{arguments.quick ? 60 : 360};
    const auto contract = make_contract();
    bool is_within = true;
    for (const auto split :
         {split_kind::grants, split_kind::equal_split, split_kind::whole_each})
    {
        const auto got = limits_run{split}.run(duration, arguments.seed);
        const double allowed = contract.requests_per_second *
                               std::chrono::duration<double>(duration).count();
        print_line("limits",
                   "split={} offered={} admitted={} use_of_limit={:.3f} "
                   "overshoot={:.1f}",
                   split_names.at(static_cast<std::size_t>(split)), got.offered,
                   got.admitted, static_cast<double>(got.admitted) / allowed,
                   got.overshoot);
        is_within =
            is_within && (split != split_kind::grants || got.overshoot == 0);
    }
    return is_within ? 0 : 1;
}

const bench_registration registration{
    "limits", "use of a limit under uneven demand, and overshoot", run_limits};

} // namespace

} // namespace hyssopdeal::bench
