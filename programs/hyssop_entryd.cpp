/// @file
/// The program hyssop-entryd: reads its settings, serves callers, ends
/// gracefully on SIGTERM.

#include <cstdio>
#include <fstream>
#include <string>

#include <fmt/format.h>
#include <getopt.h>
#include <malloc.h>

#include <hyssopdeal/coordination/entry_process.hpp>
#include <hyssopdeal/transport/logging.hpp>

namespace
{

using namespace hyssopdeal;
using coordination::entry_settings;
using transport::log_part;

enum exit_code
{
    ended = 0,
    cannot_run = 1,
    bad_usage = 2
};

struct options
{
    std::string settings_file;
    std::string port_file;
    bool check = false;
};

void print_usage(std::FILE* to)
{
    fmt::print(to,
               "usage: hyssop-entryd --settings FILE [OPTIONS]\n"
               "  --settings FILE   JSON with comments\n"
               "  --check           checks the settings and ends\n"
               "  --port-file FILE  written with the callers' port\n"
               "  --help, --version\n"
               "\n"
               "SIGTERM, SIGINT: graceful shutdown; twice: a shorter one.\n"
               "SIGHUP: reads contract_files and service_files again.\n"
               "Exit codes: 0 ended, 1 cannot run, 2 bad usage or settings.\n");
}

/// @return Whether to go on; otherwise `code` is the exit code.
bool read_options(int argc, char** argv, options& read, int& code)
{
    const option known[] = {{"settings", required_argument, nullptr, 's'},
                            {"check", no_argument, nullptr, 'c'},
                            {"port-file", required_argument, nullptr, 'p'},
                            {"help", no_argument, nullptr, 'h'},
                            {"version", no_argument, nullptr, 'v'},
                            {nullptr, 0, nullptr, 0}};
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        switch (found)
        {
        case 's':
            read.settings_file = optarg;
            break;
        case 'c':
            read.check = true;
            break;
        case 'p':
            read.port_file = optarg;
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
            code = bad_usage;
            return false;
        }
    }
    if (read.settings_file.empty() || optind < argc)
    {
        print_usage(stderr);
        code = bad_usage;
        return false;
    }
    return true;
}

// Renamed into place, so that a reader never sees half of it.
bool write_port_file(const std::string& path, std::uint16_t port)
{
    const auto unfinished = path + ".new";
    std::ofstream(unfinished) << port << '\n';
    return std::rename(unfinished.c_str(), path.c_str()) == 0;
}

// A reload that does not validate changes nothing.
void reload(const std::string& file, coordination::entry_process& process,
            std::uint64_t& index)
{
    const auto settings = protocol::read_settings_file<entry_settings>(file);
    auto view = settings ? coordination::read_static_view(*settings)
                         : transport::result<protocol::control_view>{
                               tl::unexpected(settings.error())};
    if (!view)
    {
        transport::log_error(log_part::process,
                             "Kept the former configuration: {}",
                             view.error().text);
        return;
    }
    view->applied_index = ++index;
    process.publish(std::move(*view));
}

int serve(const options& chosen, const entry_settings& settings,
          protocol::control_view view)
{
    const transport::system_clock clock;
    coordination::entry_process process{settings, clock};
    const auto port = process.start();
    if (!port)
    {
        fmt::print(stderr, "hyssop-entryd: {}\n", port.error().text);
        return cannot_run;
    }
    std::uint64_t static_index = 0;
    if (settings.control_replicas.empty() || !view.services.empty())
    {
        process.publish(std::move(view));
    }
    process.handle_signals(
        [&] { reload(chosen.settings_file, process, static_index); });
    if (!chosen.port_file.empty() && !write_port_file(chosen.port_file, *port))
    {
        fmt::print(stderr, "hyssop-entryd: cannot write {}\n",
                   chosen.port_file);
        return cannot_run;
    }
    transport::log_info(log_part::process, "Serving callers. port={}", *port);
    process.wait();
    transport::log_info(log_part::process, "Ended.");
    return ended;
}

} // namespace

int main(int argc, char** argv)
{
    // Blocks from this size are returned to the system when they are freed. By
    // default glibc raises the size as such blocks are freed, and bodies that
    // are no longer counted stay resident: 160 callers with bodies of 1 MiB
    // took 124 MB, against 58 MB with a fixed size.
    constexpr int returned_block_bytes = 131'072;
    (void)mallopt(M_MMAP_THRESHOLD, returned_block_bytes);
    options chosen;
    int code = ended;
    if (!read_options(argc, argv, chosen, code))
    {
        return code;
    }
    const auto settings =
        protocol::read_settings_file<entry_settings>(chosen.settings_file);
    auto view = settings ? coordination::read_static_view(*settings)
                         : transport::result<protocol::control_view>{
                               tl::unexpected(settings.error())};
    if (!view)
    {
        fmt::print(stderr, "{}\n", view.error().text);
        return bad_usage;
    }
    if (chosen.check)
    {
        fmt::print("{}: valid\n", chosen.settings_file);
        return ended;
    }
    transport::setup_logging(transport::log_level::info);
    return serve(chosen, *settings, std::move(*view));
}
