#ifndef HYSSOPDEAL_TESTS_PROCESS_GROUP_HPP
#define HYSSOPDEAL_TESTS_PROCESS_GROUP_HPP

/// @file
/// Real processes for a test: started from the build folder, signalled by
/// their id, and all of them ended with the group.
///
/// Index: [process_group]

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hyssopdeal::tests
{

// [process_group] ------------------------------------------------------------

/// Owns the processes that it has started, and a folder for their files.
class process_group
{
public:
    process_group();
    process_group(const process_group&) = delete;
    process_group& operator=(const process_group&) = delete;
    ~process_group();

    /// Lets signals to programs that are started from now on wait until the
    /// program takes them. Without it a signal that arrives before the first
    /// instruction of the program ends the process, which no program can
    /// prevent.
    void hold_signals_at_start() noexcept
    {
        hold_signals_ = true;
    }

    /// Starts a program of the build folder; its output goes into the folder.
    ///
    /// @param variables Of its environment, beside those of this process.
    void start(const std::string& name, const std::string& program,
               const std::vector<std::string>& arguments,
               const std::map<std::string, std::string>& variables = {});

    /// @return The id of a process that this group has started.
    [[nodiscard]] int id(const std::string& name) const
    {
        return running_.at(name);
    }

    /// Sends a signal to a process that this group has started.
    void signal(const std::string& name, int number);

    /// Waits for the end of a process.
    ///
    /// @return Its exit code; 128 and the signal's number when it was killed;
    ///     -1 when it has not ended in time.
    int wait(const std::string& name, std::chrono::seconds limit);

    /// Runs a program to its end.
    ///
    /// @return Its exit code, as wait().
    int run(const std::string& name, const std::string& program,
            const std::vector<std::string>& arguments,
            std::chrono::seconds limit);

    /// @return What a program has written to standard output and error.
    [[nodiscard]] std::string output(const std::string& name) const;

    /// @return The path of a file in the group's folder.
    [[nodiscard]] std::string path(const std::string& file) const;

    /// Writes a file into the group's folder that only its owner may read.
    void write(const std::string& file, const std::string& text) const;

    /// Reads a file of the group's folder; empty when there is none.
    [[nodiscard]] std::string read(const std::string& file) const;

    /// Keeps the folder, for whoever looks into a failure.
    void keep_folder() noexcept
    {
        keep_folder_ = true;
    }

private:
    std::string folder_;
    std::map<std::string, int> running_; ///< Ids by name.
    bool keep_folder_ = false;
    bool hold_signals_ = false;
};

} // namespace hyssopdeal::tests

#endif
