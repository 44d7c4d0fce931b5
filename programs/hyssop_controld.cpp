/// @file
/// The program hyssop-controld: one replica of the control state.

#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>

#include <fmt/format.h>
#include <getopt.h>

#include <hyssopdeal/coordination/control_process.hpp>
#include <hyssopdeal/transport/logging.hpp>

namespace
{

using namespace hyssopdeal;
using coordination::control_settings;
using transport::log_part;

enum exit_code
{
    ended = 0,
    cannot_run = 1,
    bad_usage = 2,
    damaged = 3
};

/// What the command line asks for.
enum class act
{
    run,
    check,
    prepare_new,
    prepare_join,
    verify,
    export_state
};

struct options
{
    act what = act::run;
    std::string settings_file;
    std::string folder; ///< Of verify and export.
    std::string ports_file;
};

void print_usage(std::FILE* to)
{
    fmt::print(to,
               "usage: hyssop-controld --settings FILE [OPTIONS]\n"
               "  --settings FILE    JSON with comments\n"
               "  --check            checks the settings and ends\n"
               "  --init             prepares an empty data folder for a new\n"
               "                     cluster of the settings' replicas; ends\n"
               "  --join             prepares an empty data folder for a\n"
               "                     replica with a new id; ends\n"
               "  --verify DIR       checks a data folder offline and ends\n"
               "  --export DIR       prints the state of a folder as JSON\n"
               "  --ports-file FILE  written with the ports in use\n"
               "  --help, --version\n"
               "\n"
               "SIGTERM, SIGINT: hands leadership over and ends.\n"
               "Exit codes: 0 ended, 1 cannot run, 2 bad usage or settings,\n"
               "3 the data folder is damaged.\n");
}

/// @return Whether to go on; otherwise `code` is the exit code.
bool read_options(int argc, char** argv, options& read, int& code)
{
    const option known[] = {{"settings", required_argument, nullptr, 's'},
                            {"check", no_argument, nullptr, 'c'},
                            {"init", no_argument, nullptr, 'i'},
                            {"join", no_argument, nullptr, 'j'},
                            {"verify", required_argument, nullptr, 'y'},
                            {"export", required_argument, nullptr, 'e'},
                            {"ports-file", required_argument, nullptr, 'p'},
                            {"help", no_argument, nullptr, 'h'},
                            {"version", no_argument, nullptr, 'v'},
                            {nullptr, 0, nullptr, 0}};
    int found = 0;
    code = bad_usage;
    while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        switch (found)
        {
        case 's':
            read.settings_file = optarg;
            break;
        case 'c':
            read.what = act::check;
            break;
        case 'i':
            read.what = act::prepare_new;
            break;
        case 'j':
            read.what = act::prepare_join;
            break;
        case 'y':
            read.what = act::verify;
            read.folder = optarg;
            break;
        case 'e':
            read.what = act::export_state;
            read.folder = optarg;
            break;
        case 'p':
            read.ports_file = optarg;
            break;
        case 'h':
            print_usage(stdout);
            code = ended;
            return false;
        case 'v':
            fmt::print("{}\n", HYSSOPDEAL_VERSION);
            code = ended;
            return false;
        default:
            print_usage(stderr);
            return false;
        }
    }
    if ((read.settings_file.empty() && read.folder.empty()) || optind < argc)
    {
        print_usage(stderr);
        return false;
    }
    return true;
}

int report(const transport::failure& error, int code)
{
    fmt::print(stderr, "hyssop-controld: {}\n", error.text);
    return error.code == transport::reason::corrupt ? damaged : code;
}

int verify(const std::string& folder)
{
    const auto found = coordination::verify_folder(folder);
    if (!found)
    {
        return report(found.error(), cannot_run);
    }
    fmt::print("id={} term={} snapshot={} last={} torn_bytes={}\n", found->id,
               found->term, found->snapshot_index, found->last_index,
               found->torn_bytes);
    return ended;
}

int export_state(const std::string& folder)
{
    const auto text = coordination::export_folder(folder);
    if (!text)
    {
        return report(text.error(), cannot_run);
    }
    fmt::print("{}", *text);
    return ended;
}

/// Renamed into place, so that a reader never sees half of it.
bool write_ports_file(const std::string& path,
                      const coordination::control_ports& ports)
{
    const auto unfinished = path + ".new";
    std::ofstream(unfinished)
        << ports.peers << ' ' << ports.gossip << ' ' << ports.operators << '\n';
    return std::rename(unfinished.c_str(), path.c_str()) == 0;
}

int run(const options& chosen, const control_settings& settings)
{
    const transport::system_clock clock;
    transport::event_loop loop;
    coordination::control_process process{loop, clock, settings};
    const auto ports = process.start();
    if (!ports)
    {
        return report(ports.error(), cannot_run);
    }
    if (!chosen.ports_file.empty() &&
        !write_ports_file(chosen.ports_file, *ports))
    {
        fmt::print(stderr, "hyssop-controld: cannot write {}\n",
                   chosen.ports_file);
        return cannot_run;
    }
    transport::log_info(log_part::process,
                        "Started. peers={} gossip={} operators={}",
                        ports->peers, ports->gossip, ports->operators);
    loop.on_signal([&](int number) {
        if (number != SIGHUP)
        {
            process.drain();
        }
    });
    loop.run();
    transport::log_info(log_part::process, "Ended.");
    return ended;
}

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    int code = ended;
    if (!read_options(argc, argv, chosen, code))
    {
        return code;
    }
    transport::setup_logging(transport::log_level::info);
    if (chosen.what == act::verify)
    {
        return verify(chosen.folder);
    }
    if (chosen.what == act::export_state)
    {
        return export_state(chosen.folder);
    }
    const auto settings =
        protocol::read_settings_file<control_settings>(chosen.settings_file);
    if (!settings)
    {
        return report(settings.error(), bad_usage);
    }
    if (chosen.what == act::check)
    {
        fmt::print("{}: valid\n", chosen.settings_file);
        return ended;
    }
    if (chosen.what != act::run)
    {
        const auto start = chosen.what == act::prepare_new
                               ? coordination::folder_start::new_cluster
                               : coordination::folder_start::join;
        const auto done = coordination::prepare_folder(*settings, start);
        return done ? ended : report(done.error(), cannot_run);
    }
    return run(chosen, *settings);
}
