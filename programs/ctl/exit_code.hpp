#ifndef HYSSOPDEAL_PROGRAMS_CTL_EXIT_CODE_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_EXIT_CODE_HPP

/// @file
/// How hyssopctl ends; `hyssopctl --help` lists these.
///
/// Index: [exit_code]

namespace hyssopdeal::ctl
{

// [exit_code] ----------------------------------------------------------------

/// Exit status of hyssopctl.
enum class exit_code : int
{
    done = 0,              ///< Done, or nothing to do.
    failed = 1,            ///< Refused; nothing was changed.
    bad_usage = 2,         ///< Bad command line, settings or declaration.
    conflict = 3,          ///< Another write won; its content was printed.
    not_everywhere = 4,    ///< Accepted, but not in force everywhere in time.
    may_have_run = 5,      ///< The answer was lost: resend the same order id.
    unreachable = 6,       ///< No control replica took the order; not run.
    differs = 7,           ///< `diff` found differences.
    ended_without_move = 8 ///< The move was taken back or cancelled.
};

} // namespace hyssopdeal::ctl

#endif
