/// @file
/// A caller sends a request with a body that looks like another request. With
/// trouble its method is CONNECT, else POST.

#include <atomic>
#include <csignal>
#include <string>
#include <thread>

#include "../support-2/small_world.hpp"

using namespace hyssopdeal::review;
using namespace std::chrono_literals;

namespace
{

constexpr int request_count = 5;

time_point now()
{
    return std::chrono::steady_clock::now();
}

/// A sound server: it refuses methods that it does not know.
void serve(connection from, std::atomic<int>& smuggled, record& notes)
{
    message asked;
    while (from.read(asked, now() + 60s) == read_end::whole)
    {
        const auto id = asked.header("X-Attempt-Id");
        const bool known = asked.word(0) == "POST";
        notes.line(std::string{"server "} + (known ? "runs " : "refuses ") +
                   asked.first_line + ", id " + id + ", body of " +
                   std::to_string(asked.body.size()) + " bytes");
        if (id.starts_with("inner"))
        {
            ++smuggled;
        }
        const int status = known ? 200 : 501;
        if (!from.send(write_answer(
                status, {{"X-Attempt-Id", id}, {"X-Server-Seal", "s." + id}},
                std::string(known ? 800 : 0, 'a'))))
        {
            return;
        }
    }
}

std::string write_request(const std::string& method, const std::string& path,
                          const std::string& id, const std::string& body)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 2000\r\n"
           "X-Attempt-Id: " +
           id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

void call(const endpoint& to, const std::string& method, int number,
          record& notes)
{
    const auto text = std::to_string(number);
    const auto inner =
        write_request("POST", "/p/pay", "inner-" + text, "amount=1");
    connection made{connect_to(to, 1s)};
    (void)made.send(write_request(method, "/p/note", "outer-" + text, inner));
    notes.line("caller sends one request, " + method + " /p/note, id outer-" +
               text + ", whose body of " + std::to_string(inner.size()) +
               " bytes reads as POST /p/pay, id inner-" + text);
    message answer;
    while (made.read(answer, now() + 500ms) == read_end::whole)
    {
        notes.line("caller gets " + answer.first_line + ", id " +
                   answer.header("X-Attempt-Id"));
    }
}

int run(record& notes)
{
    std::atomic<int> smuggled{0};
    world all{notes, 3, 1};
    const listener server{all.own_ip(60), [&](connection from) {
                              serve(std::move(from), smuggled, notes);
                          }};
    all.list({{"i-1", "plain", server.address().text()}});
    if (!all.start() ||
        !all.put_config(config_json(route_json("pay", "/p/", "unsafe", "plain"),
                                    "plain")) ||
        !all.await_ready(15s))
    {
        notes.line("cannot run: the deployment is not ready");
        return cannot_run;
    }
    std::this_thread::sleep_for(3s);
    const std::string method = trouble_wanted() ? "CONNECT" : "POST";
    for (int at = 0; at < request_count; ++at)
    {
        call(all.entry(0), method, at, notes);
    }
    notes.line(
        "smuggled requests that the server ran: " + std::to_string(smuggled) +
        " of " + std::to_string(request_count));
    notes.line(smuggled > 0 ? "BROKEN: UNASKED" : "held");
    return smuggled > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    record notes{argc > 1 ? argv[1] : "record.txt"};
    return run(notes);
}
