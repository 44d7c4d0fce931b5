#include "process_group.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <fmt/format.h>

#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::tests
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{20};

// Runs in the child: nothing here may return.
[[noreturn]] void become(const std::string& program, const std::string& log,
                         std::vector<char*>& arguments,
                         std::vector<char*>& environment)
{
    constexpr unsigned last_descriptor = ~0U;
    constexpr int log_mode = 0600;
    constexpr int not_started = 127;
    const int file =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_mode);
    if (file >= 0)
    {
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
    }
    // A socket stays open for as long as any process holds it.
    ::close_range(STDERR_FILENO + 1, last_descriptor, 0);
    ::execve(program.c_str(), arguments.data(), environment.data());
    ::_exit(not_started);
}

} // namespace

process_group::process_group()
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "hyssopdeal-processes.XXXXXX")
            .string();
    folder_ = ::mkdtemp(pattern.data());
}

process_group::~process_group()
{
    for (const auto& [name, id] : running_)
    {
        ::kill(id, SIGCONT);
        ::kill(id, SIGKILL);
        ::waitpid(id, nullptr, 0);
    }
    if (!keep_folder_)
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

void process_group::start(const std::string& name, const std::string& program,
                          const std::vector<std::string>& arguments,
                          const std::map<std::string, std::string>& variables)
{
    const auto file = fmt::format("{}/{}", HYSSOPDEAL_BINARY_DIR, program);
    const auto log = path(name + ".log");
    std::vector<std::string> words{file};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (auto& word : words)
    {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    std::vector<std::string> added;
    added.reserve(variables.size());
    std::vector<char*> environment;
    for (char** at = environ; *at != nullptr; ++at)
    {
        environment.push_back(*at);
    }
    for (const auto& [variable, value] : variables)
    {
        added.push_back(fmt::format("{}={}", variable, value));
        environment.push_back(added.back().data());
    }
    environment.push_back(nullptr);
    sigset_t before;
    pthread_sigmask(SIG_SETMASK, nullptr, &before);
    if (hold_signals_)
    {
        transport::mask_stop_signals(SIG_BLOCK);
    }
    const int id = ::fork();
    if (id == 0)
    {
        become(file, log, pointers, environment);
    }
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    running_[name] = id;
}

void process_group::signal(const std::string& name, int number)
{
    const auto found = running_.find(name);
    if (found != running_.end())
    {
        ::kill(found->second, number);
    }
}

int process_group::wait(const std::string& name, std::chrono::seconds limit)
{
    constexpr int killed = 128;
    const auto found = running_.find(name);
    if (found == running_.end())
    {
        return -1;
    }
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(limit);
    int status = 0;
    while (::waitpid(found->second, &status, WNOHANG) == 0)
    {
        if (left <= std::chrono::milliseconds{0})
        {
            return -1;
        }
        std::this_thread::sleep_for(poll_interval);
        left -= poll_interval;
    }
    running_.erase(found);
    return WIFEXITED(status) ? WEXITSTATUS(status) : killed + WTERMSIG(status);
}

int process_group::run(const std::string& name, const std::string& program,
                       const std::vector<std::string>& arguments,
                       std::chrono::seconds limit)
{
    start(name, program, arguments);
    return wait(name, limit);
}

std::string process_group::output(const std::string& name) const
{
    return read(name + ".log");
}

std::string process_group::path(const std::string& file) const
{
    return folder_ + '/' + file;
}

void process_group::write(const std::string& file,
                          const std::string& text) const
{
    const auto full = path(file);
    std::ofstream(full, std::ios::binary) << text;
    ::chmod(full.c_str(), S_IRUSR | S_IWUSR);
}

std::string process_group::read(const std::string& file) const
{
    std::ostringstream text;
    text << std::ifstream(path(file), std::ios::binary).rdbuf();
    return text.str();
}

} // namespace hyssopdeal::tests
