#ifndef HYSSOPDEAL_PROGRAMS_CTL_SESSION_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_SESSION_HPP

/// @file
/// What all commands share: sending, printing, and waiting until a change is
/// in force everywhere.
///
/// Index: [session]

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>

#include "ctl/commands.hpp"
#include "ctl/control_client.hpp"
#include "ctl/options.hpp"

namespace hyssopdeal::ctl
{

// [session] ------------------------------------------------------------------

/// One run of hyssopctl.
class session
{
public:
    session(const ctl_options& options, const transport::clock& clock,
            command_output& output);

    /// Reads a target.
    [[nodiscard]] transport::result<control_answer> get(std::string target);

    /// Sends a write with this run's order id.
    ///
    /// @param expected Revision that the record must have, none for any;
    ///     `--revision` goes before it.
    [[nodiscard]] transport::result<control_answer>
    write(std::string method, std::string target, std::string body,
          std::optional<std::uint64_t> expected);

    /// Prints the end of a write, and with `--wait` waits for it.
    ///
    /// @param what Named in the output, such as `contract x`.
    [[nodiscard]] exit_code
    finish(const transport::result<control_answer>& answer,
           const std::string& what);

    /// Prints a failure.
    [[nodiscard]] exit_code fail(const transport::failure& failure);

    /// Prints a mistake of usage or in a file.
    [[nodiscard]] exit_code refuse(const std::string& text);

    /// Prints an answer that is not 2xx.
    [[nodiscard]] exit_code report(const control_answer& answer,
                                   const std::string& what);

    /// Adds a line for people; dropped with `--json`.
    void say(const std::string& line);

    /// Adds JSON: as it is with `--json`, as a table for people.
    ///
    /// @param keys Columns of the table; empty: every key.
    void show(const std::string& json,
              const std::vector<std::string>& keys = {});

    /// Waits before a status is asked again.
    void pause();

    /// @return The options of this run.
    [[nodiscard]] const ctl_options& options() const noexcept
    {
        return options_;
    }

    /// @return The clock of this run.
    [[nodiscard]] const transport::clock& clock() const noexcept
    {
        return clock_;
    }

private:
    [[nodiscard]] exit_code wait_in_force(std::uint64_t index);

    const ctl_options& options_;
    const transport::clock& clock_;
    command_output& output_;
    std::string order_id_;
    std::uint64_t writes_ = 0;
    control_client client_;
};

} // namespace hyssopdeal::ctl

#endif
