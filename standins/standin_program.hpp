#ifndef HYSSOPDEAL_STANDINS_STANDIN_PROGRAM_HPP
#define HYSSOPDEAL_STANDINS_STANDIN_PROGRAM_HPP

/// @file
/// The main function that all stand-in programs share.
///
/// Index: [run_standin]
///
/// `standin-NAME [--settings FILE] [--port-file FILE]`: reads the settings,
/// serves until SIGTERM or SIGINT, and writes `PORT` and a line end into the
/// port file once it listens. Exit codes: 0 stopped by a signal, 1 could not
/// listen, 2 bad command line or settings.

#include <cstdint>
#include <string>

#include <fmt/format.h>

#include <hyssopdeal/protocol/settings_reader.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::standins
{

// [run_standin] --------------------------------------------------------------

/// What the command line of a stand-in says.
struct standin_options
{
    std::string settings_file; ///< Empty: defaults.
    std::string port_file;     ///< Empty: the port is only printed.
};

/// Reads the command line.
///
/// @param exit_code Set when the program is to end at once.
/// @return Whether to go on.
[[nodiscard]] bool read_standin_options(int argc, char** argv,
                                        standin_options& options,
                                        int& exit_code);

/// Tells the port and runs the loop until a signal stops it.
///
/// @return The exit code.
[[nodiscard]] int serve_standin(transport::event_loop& loop,
                                const transport::result<std::uint16_t>& port,
                                const standin_options& options);

/// Reads settings, makes the stand-in, and serves.
///
/// @param make Gets the loop and the settings; returns a started stand-in's
///     port, and keeps the stand-in alive.
template <class Settings, class Make>
int run_standin(int argc, char** argv, Make make)
{
    constexpr int bad_usage = 2;
    standin_options options;
    int exit_code = 0;
    if (!read_standin_options(argc, argv, options, exit_code))
    {
        return exit_code;
    }
    auto settings =
        options.settings_file.empty()
            ? transport::result<Settings>{Settings{}}
            : protocol::read_settings_file<Settings>(options.settings_file);
    if (!settings)
    {
        fmt::print(stderr, "{}\n", settings.error().text);
        return bad_usage;
    }
    transport::event_loop loop;
    auto standin = make(loop, *settings);
    return serve_standin(loop, standin->start(), options);
}

} // namespace hyssopdeal::standins

#endif
