#include "ctl/evacuation_commands.hpp"

#include <fmt/format.h>

namespace hyssopdeal::ctl
{

namespace
{

constexpr int ok = 200;
const std::string list_target = "/v1/evacuations";

exit_code order(session& run, const std::string& method,
                const std::string& what)
{
    const auto& words = run.options().words;
    constexpr std::size_t words_needed = 3;
    if (words.size() != words_needed)
    {
        return run.refuse(
            fmt::format("evacuation {}: allowed DOMAIN", words[1]));
    }
    const auto& domain = words[2];
    return run.finish(run.write(method, list_target + "/" + domain, "", {}),
                      what + " " + domain);
}

exit_code list(session& run)
{
    if (run.options().words.size() != 2)
    {
        return run.refuse("evacuation list: allowed no further words");
    }
    const auto answer = run.get(list_target);
    if (!answer)
    {
        return run.fail(answer.error());
    }
    if (answer->status != ok)
    {
        return run.report(*answer, "evacuation list");
    }
    run.show(answer->body);
    return exit_code::done;
}

} // namespace

exit_code run_evacuation_command(session& run)
{
    const auto& words = run.options().words;
    const std::string command = words.size() > 1 ? words[1] : "";
    if (command == "begin")
    {
        return order(run, "PUT", "evacuation of");
    }
    if (command == "end")
    {
        return order(run, "DELETE", "end of the evacuation of");
    }
    if (command == "list")
    {
        return list(run);
    }
    return run.refuse(fmt::format(
        "evacuation: found \"{}\", allowed begin, end, list", command));
}

} // namespace hyssopdeal::ctl
