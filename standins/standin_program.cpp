#include "standin_program.hpp"

#include <getopt.h>

#include <cstdio>
#include <fstream>

#include <hyssopdeal/transport/logging.hpp>

namespace hyssopdeal::standins
{

namespace
{

constexpr int listen_failed = 1;
constexpr int bad_usage = 2;

void print_usage(std::FILE* to, const char* program)
{
    fmt::print(to,
               "usage: {} [--settings FILE] [--port-file FILE]\n"
               "  --settings FILE   JSON with comments; defaults without it\n"
               "  --port-file FILE  written with the port once it listens\n"
               "  --help, --version\n",
               program);
}

// Renames the finished file into place, so that a reader never sees half.
bool write_port_file(const std::string& path, std::uint16_t port)
{
    const auto unfinished = path + ".new";
    std::ofstream(unfinished) << port << '\n';
    return std::rename(unfinished.c_str(), path.c_str()) == 0;
}

} // namespace

bool read_standin_options(int argc, char** argv, standin_options& options,
                          int& exit_code)
{
    const option known[] = {{"settings", required_argument, nullptr, 's'},
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
            options.settings_file = optarg;
            break;
        case 'p':
            options.port_file = optarg;
            break;
        case 'h':
            print_usage(stdout, argv[0]);
            exit_code = 0;
            return false;
        case 'v':
            fmt::print("{}\n", HYSSOPDEAL_VERSION);
            exit_code = 0;
            return false;
        default:
            print_usage(stderr, argv[0]);
            exit_code = bad_usage;
            return false;
        }
    }
    return true;
}

int serve_standin(transport::event_loop& loop,
                  const transport::result<std::uint16_t>& port,
                  const standin_options& options)
{
    transport::setup_logging(transport::log_level::info);
    if (!port)
    {
        fmt::print(stderr, "{}\n", port.error().text);
        return listen_failed;
    }
    if (!options.port_file.empty() &&
        !write_port_file(options.port_file, *port))
    {
        fmt::print(stderr, "{}: cannot be written\n", options.port_file);
        return listen_failed;
    }
    transport::log_info(transport::log_part::process, "Listening. port={}",
                        *port);
    loop.on_signal([&loop](int) { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace hyssopdeal::standins
