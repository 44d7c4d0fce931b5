/// @file
/// The program hyssop_soak: runs the platform's programs as real processes,
/// disturbs them as a seed says, and tells which promises were broken.

#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>

#include <fmt/format.h>

#include "loop_helper.hpp"
#include "soak/soak_callers.hpp"
#include "soak/soak_faults.hpp"
#include "soak/soak_world.hpp"

namespace
{

using namespace hyssopdeal;
using namespace hyssopdeal::soak;
using namespace std::chrono_literals;

constexpr int broken_promise = 1;
constexpr int bad_usage = 2;

constexpr const char* usage_text =
    R"(usage: hyssop_soak [--seed N] [--entries N] [--replicas N] [--servers N]
           [--seconds N] [--rate N] [--planned] [--keep]
  --seed N      of all that is drawn (1)
  --entries N   processes that serve callers (5)
  --replicas N  control replicas (4)
  --servers N   backend servers of each of two services (6)
  --seconds N   during which faults begin (20)
  --rate N      calls a second (120)
  --planned     only stops, changes and servers that leave
  --keep        keeps the folder with the processes' output
Exit codes: 0 promises kept, 1 not, 2 bad usage.
)";

bool read_number(const char* text, std::uint64_t& into)
{
    const std::string_view view{text};
    const auto read =
        std::from_chars(view.data(), view.data() + view.size(), into);
    return read.ec == std::errc{} && read.ptr == view.data() + view.size() &&
           into > 0;
}

bool read_options(int argc, char** argv, soak_settings& settings)
{
    static constexpr std::array options = {
        option{"seed", required_argument, nullptr, 's'},
        option{"entries", required_argument, nullptr, 'e'},
        option{"replicas", required_argument, nullptr, 'r'},
        option{"servers", required_argument, nullptr, 'v'},
        option{"seconds", required_argument, nullptr, 't'},
        option{"rate", required_argument, nullptr, 'c'},
        option{"planned", no_argument, nullptr, 'p'},
        option{"keep", no_argument, nullptr, 'k'},
        option{nullptr, 0, nullptr, 0}};
    constexpr std::uint64_t most_entries = 150;
    constexpr std::uint64_t most_replicas = 9;
    constexpr std::uint64_t most_servers = 40;
    int which = 0;
    while ((which = ::getopt_long(argc, argv, "", options.data(), nullptr)) !=
           -1)
    {
        std::uint64_t value = 0;
        const bool flag = which == 'p' || which == 'k';
        if (which == '?' || (!flag && !read_number(optarg, value)))
        {
            return false;
        }
        switch (which)
        {
        case 's':
            settings.seed = value;
            break;
        case 'e':
            settings.entries = value;
            break;
        case 'r':
            settings.replicas = value;
            break;
        case 'v':
            settings.servers = value;
            break;
        case 't':
            settings.faults = std::chrono::seconds{value};
            break;
        case 'c':
            settings.calls_per_second = static_cast<double>(value);
            break;
        case 'p':
            settings.planned_only = true;
            break;
        default:
            settings.keep = true;
            break;
        }
    }
    return optind == argc && settings.entries <= most_entries &&
           settings.replicas <= most_replicas &&
           settings.servers <= most_servers;
}

/// Runs one soak.
class soak_run
{
public:
    explicit soak_run(const soak_settings& settings)
        : world_(settings, ledger_),
          callers_(world_),
          operator_(world_),
          faults_(world_, operator_)
    {}

    void run()
    {
        constexpr auto start_limit = 15s;
        constexpr auto calm_before = 2s;
        // Entries are stopped one after the other, about one each second.
        const auto faults_end_limit =
            std::max<std::chrono::seconds>(60s, 2s * world_.settings.entries);
        constexpr auto calm_after = 3s;
        world_.start();
        operator_.change();
        watch();
        if (!tests::run_until(
                world_.loop, [&] { return ledger_.newest_accepted() > 0; },
                start_limit))
        {
            return ledger_.broken("the system starts",
                                  "no document was accepted in 15 s");
        }
        callers_.start();
        world_.loop.run_for(calm_before);
        faults_.start(world_.settings.faults);
        world_.loop.run_for(world_.settings.faults);
        if (!tests::run_until(
                world_.loop, [&] { return faults_.over(); }, faults_end_limit))
        {
            ledger_.broken("faults end", "a process did not end or a move ran "
                                         "on for a minute");
        }
        world_.loop.run_for(bounds_.recovery);
        const auto steady = world_.clock.monotonic_now();
        operator_.steady();
        world_.loop.run_for(calm_after);
        callers_.stop();
        if (!tests::run_until(
                world_.loop,
                [&] { return callers_.open() == 0 && operator_.settled(); },
                10s))
        {
            ledger_.broken("accepted configuration never reverts",
                           "the newest could not be read back");
        }
        ledger_.judge(steady);
    }

    int report(const soak_settings& settings) const
    {
        fmt::print("seed {}: {}\n", settings.seed, ledger_.summary());
        for (const auto& finding : ledger_.findings())
        {
            fmt::print("  BROKEN {}\n", finding);
        }
        return ledger_.findings().empty() ? 0 : broken_promise;
    }

    void keep_folder()
    {
        world_.keep_folder();
        fmt::print("kept {}\n", world_.folder());
    }

    [[nodiscard]] bool kept_promises() const
    {
        return ledger_.findings().empty();
    }

private:
    /// Looks at processes, probes entries and reads the document back, as long
    /// as the soak runs.
    void watch()
    {
        constexpr auto interval = 200ms;
        watcher_ = world_.loop.after(interval, [this] { watch(); });
        world_.watch();
        callers_.probe(ledger_.newest_accepted());
        operator_.read();
    }

    soak_bounds bounds_;
    transport::system_clock clock_;
    soak_ledger ledger_{clock_, bounds_};
    soak_world world_;
    soak_callers callers_;
    soak_operator operator_;
    soak_faults faults_;
    transport::timer_handle watcher_;
};

} // namespace

int main(int argc, char** argv)
{
    soak_settings settings;
    if (!read_options(argc, argv, settings))
    {
        fmt::print(stderr, "{}", usage_text);
        return bad_usage;
    }
    soak_run run{settings};
    run.run();
    const int code = run.report(settings);
    if (settings.keep || !run.kept_promises())
    {
        run.keep_folder();
    }
    return code;
}
