#ifndef HYSSOPDEAL_PROGRAMS_CTL_OPTIONS_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_OPTIONS_HPP

/// @file
/// Command line and settings of hyssopctl.
///
/// Index: [ctl_settings] [ctl_options] [reading]

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/settings_reader.hpp>

#include "ctl/exit_code.hpp"

namespace hyssopdeal::ctl
{

// [ctl_settings] -------------------------------------------------------------

/// The settings file of hyssopctl.
struct ctl_settings
{
    std::vector<std::string> control; ///< `IP:port` of the operators' APIs.
    std::string token_file;           ///< Holds the operator's token.
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, ctl_settings& value);

// [ctl_options] --------------------------------------------------------------

/// Whether output is for people or for programs.
enum class output_format : std::uint8_t
{
    text,
    json,
    svg ///< Of `analyze`.
};

/// What the command line says.
struct ctl_options
{
    std::vector<std::string> words; ///< Command and its arguments.
    ctl_settings settings;          ///< From the file, then the options.
    std::string token;              ///< Read from the token file.
    output_format format = output_format::text;
    std::string order_id;                     ///< Empty: a random one.
    std::optional<std::uint64_t> expected;    ///< Revision for compare-and-set.
    std::optional<std::chrono::seconds> wait; ///< Until in force everywhere.
    std::chrono::seconds time_limit{10};      ///< Of one order, with retries.
    std::string by;                           ///< `move start --by`.
    double largest_canary_share = 0.01;       ///< `move start --canary`.
    std::chrono::seconds watch{300};          ///< `move start --watch`.
};

// [reading] ------------------------------------------------------------------

/// Reads the command line, the settings file and the token file.
///
/// @param end Set when the program is to end at once (help, version, mistake).
/// @return The options, meaningful when `end` is not set.
[[nodiscard]] ctl_options read_options(int argc, char** argv,
                                       std::optional<exit_code>& end);

} // namespace hyssopdeal::ctl

#endif
