#include "world.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <memory>
#include <random>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::uint16_t metrics_port = 9'464; // Of both programs.
constexpr std::size_t first_replica = 10;
constexpr std::size_t first_entry = 40;
constexpr std::size_t platform_number = 5;

sockaddr_in address_of(const std::string& ip, std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

bool same_name(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char one, unsigned char other) {
                          return std::tolower(one) == std::tolower(other);
                      });
}

std::vector<http_header> headers_of(std::string_view head)
{
    std::vector<http_header> headers;
    auto at = head.find("\r\n");
    while (at != std::string_view::npos)
    {
        const auto end = head.find("\r\n", at + 2);
        const auto line = head.substr(
            at + 2, end == std::string_view::npos ? end : end - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos)
        {
            auto value = line.substr(colon + 1);
            value.remove_prefix(
                std::min(value.find_first_not_of(' '), value.size()));
            headers.push_back(
                {std::string{line.substr(0, colon)}, std::string{value}});
        }
        at = end;
    }
    return headers;
}

std::size_t length_of(const std::vector<http_header>& headers)
{
    const auto text = header(headers, "Content-Length");
    return text.empty() ? 0 : std::stoul(text);
}

int listen_on(const std::string& ip, std::uint16_t port)
{
    constexpr int backlog = 256;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto address = address_of(ip, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(descriptor, backlog) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

bool is_free(const std::string& ip, std::uint16_t port)
{
    const int descriptor = listen_on(ip, port);
    if (descriptor >= 0)
    {
        ::close(descriptor);
    }
    return descriptor >= 0;
}

} // namespace

// [record] -------------------------------------------------------------------

record::record(const std::string& path)
    : file_(path)
{}

void record::line(const std::string& text)
{
    const std::lock_guard lock{mutex_};
    const std::chrono::duration<double> passed =
        std::chrono::steady_clock::now() - start_;
    const auto written = fmt::format("{:8.3f} s  {}", passed.count(), text);
    file_ << written << '\n' << std::flush;
    fmt::print("{}\n", written);
}

// [http] ---------------------------------------------------------------------

std::string header(const std::vector<http_header>& headers,
                   std::string_view name)
{
    const auto found =
        std::find_if(headers.begin(), headers.end(), [&](const auto& item) {
            return same_name(item.name, name);
        });
    return found == headers.end() ? std::string{} : found->value;
}

connection::connection(int descriptor)
    : descriptor_(descriptor)
{
    const int yes = 1;
    (void)::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (descriptor_ >= 0)
    {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

void connection::reset()
{
    const linger at_once{1, 0};
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once,
                       sizeof at_once);
    close();
}

void connection::reset_from_outside()
{
    // Disconnecting resets a channel at once and leaves the descriptor open.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    (void)::connect(descriptor_, &none, sizeof none);
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::read_more()
{
    std::array<char, 65'536> bytes{};
    const auto got = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (got <= 0)
    {
        if (got < 0)
        {
            close();
        }
        return false;
    }
    in_.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
}

std::optional<std::string> connection::read_head()
{
    auto end = in_.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!read_more())
        {
            return std::nullopt;
        }
        end = in_.find("\r\n\r\n");
    }
    auto head = in_.substr(0, end);
    in_.erase(0, end + 4);
    return head;
}

std::optional<http_request> connection::read_request()
{
    const auto head = read_head();
    if (!head)
    {
        return std::nullopt;
    }
    http_request out;
    const auto first = head->find(' ');
    const auto second = head->find(' ', first + 1);
    out.method = head->substr(0, first);
    out.target = head->substr(first + 1, second - first - 1);
    out.headers = headers_of(*head);
    const auto length = length_of(out.headers);
    while (in_.size() < length)
    {
        if (!read_more())
        {
            return std::nullopt;
        }
    }
    out.body = in_.substr(0, length);
    in_.erase(0, length);
    return out;
}

http_response connection::read_response()
{
    constexpr std::size_t status_at = 9;
    http_response out;
    const auto head = read_head();
    if (!head || head->size() < status_at)
    {
        return out;
    }
    out.status = std::atoi(head->c_str() + status_at);
    out.headers = headers_of(*head);
    const bool chunked = !header(out.headers, "Transfer-Encoding").empty();
    if (!chunked)
    {
        const auto length = length_of(out.headers);
        while (in_.size() < length && read_more())
        {}
        out.complete = in_.size() >= length;
        out.body = in_.substr(0, length);
        in_.erase(0, std::min(length, in_.size()));
        return out;
    }
    while (true)
    {
        auto end = in_.find("\r\n");
        while (end == std::string::npos)
        {
            if (!read_more())
            {
                return out;
            }
            end = in_.find("\r\n");
        }
        const auto length =
            std::stoul(in_.substr(0, end), nullptr, 16); // NOLINT
        const auto whole = end + 2 + length + 2;
        while (in_.size() < whole)
        {
            if (!read_more())
            {
                return out;
            }
        }
        out.body += in_.substr(end + 2, length);
        in_.erase(0, whole);
        if (length == 0)
        {
            out.complete = true;
            return out;
        }
    }
}

std::unique_ptr<connection> connect_to(const std::string& ip,
                                       std::uint16_t port, milliseconds limit)
{
    constexpr int ms_in_s = 1'000;
    constexpr int us_in_ms = 1'000;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval wait{};
    wait.tv_sec = limit.count() / ms_in_s;
    wait.tv_usec = limit.count() % ms_in_s * us_in_ms;
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    const auto address = address_of(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

namespace
{

std::string request_bytes(const http_request& request)
{
    auto out =
        fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (const auto& item : request.headers)
    {
        out += fmt::format("{}: {}\r\n", item.name, item.value);
    }
    if (request.method != "GET" || !request.body.empty())
    {
        out += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    return out + "\r\n" + request.body;
}

} // namespace

http_response call(const std::string& ip, std::uint16_t port,
                   const http_request& request, milliseconds limit)
{
    const auto peer = connect_to(ip, port, limit);
    if (!peer || !peer->write(request_bytes(request)))
    {
        return {};
    }
    return peer->read_response();
}

std::string response_bytes(int status, const std::vector<http_header>& headers,
                           std::string_view body)
{
    auto out = fmt::format("HTTP/1.1 {} -\r\n", status);
    for (const auto& item : headers)
    {
        out += fmt::format("{}: {}\r\n", item.name, item.value);
    }
    return out + fmt::format("Content-Length: {}\r\n\r\n", body.size()) +
           std::string{body};
}

// [listener] -----------------------------------------------------------------

listener::listener(std::string ip, std::uint16_t port,
                   std::function<void(connection&)> handler)
    : ip_(std::move(ip)),
      port_(port),
      handler_(std::move(handler))
{
    open();
}

void listener::open()
{
    const std::lock_guard lock{mutex_};
    descriptor_ = listen_on(ip_, port_);
    if (descriptor_ < 0)
    {
        throw std::runtime_error{fmt::format("{}:{} is not free", ip_, port_)};
    }
    std::thread{[listening = descriptor_, own = handler_] {
        while (true)
        {
            const int accepted =
                ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
            {
                ::close(listening);
                return;
            }
            std::thread{[accepted, own] {
                connection peer{accepted};
                own(peer);
            }}.detach();
        }
    }}.detach();
}

void listener::close()
{
    const std::lock_guard lock{mutex_};
    // Ends the accepting thread, which closes the descriptor.
    ::shutdown(descriptor_, SHUT_RDWR);
}

void listener::cut()
{
    // A filter of one step, which lets no byte of an opening packet through.
    const std::lock_guard lock{mutex_};
    sock_filter drop{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop};
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                       sizeof program);
}

void listener::heal()
{
    const std::lock_guard lock{mutex_};
    const int unused = 0;
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_DETACH_FILTER, &unused,
                       sizeof unused);
}

void serve(const std::string& ip, std::uint16_t port,
           std::function<void(connection&)> handler)
{
    // Lives as long as the process.
    static std::mutex mutex;
    static std::vector<std::unique_ptr<listener>> all;
    const std::lock_guard lock{mutex};
    all.push_back(std::make_unique<listener>(ip, port, std::move(handler)));
}

// [world] --------------------------------------------------------------------

world::world(std::string root, record& log, std::size_t replica_count,
             std::size_t entry_count)
    : replicas(replica_count),
      entries(entry_count),
      root_(std::move(root)),
      log_(log)
{
    auto made =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(made.data()) == nullptr)
    {
        throw std::runtime_error{"no temporary folder"};
    }
    folder_ = made;
    choose_addresses();
}

world::~world()
{
    stop();
}

void world::stop()
{
    for (auto& [own, one] : processes_)
    {
        if (one.pid > 0)
        {
            ::kill(one.pid, SIGCONT);
            ::kill(one.pid, SIGKILL);
            ::waitpid(one.pid, nullptr, 0);
            one.pid = 0;
        }
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
    {
        std::filesystem::remove_all(folder_, ignored);
    }
}

void world::choose_addresses()
{
    constexpr int tries = 50;
    std::random_device random;
    for (int left = tries; left > 0; --left)
    {
        block_ = fmt::format("127.{}.{}", 20 + random() % 200, random() % 250);
        const auto base =
            static_cast<std::uint16_t>(20'000 + random() % 1'000 * 10);
        control_port = base;
        front_port = base + 1;
        readiness_port_ = base + 2;
        platform_port_ = base + 3;
        server_port = base + 4;
        internal_port_ = base + 5;
        bool all = true;
        for (const std::size_t number :
             {platform_number, first_replica, first_entry})
        {
            for (const auto port :
                 {control_port, front_port, readiness_port_, platform_port_,
                  server_port, internal_port_, metrics_port})
            {
                all = all && is_free(ip(number), port);
            }
        }
        if (all)
        {
            return;
        }
    }
    throw std::runtime_error{"no free ports"};
}

std::string world::ip(std::size_t number) const
{
    return fmt::format("{}.{}", block_, number);
}

std::string world::ip(role kind, std::size_t number) const
{
    return ip((kind == role::replica ? first_replica : first_entry) + number);
}

std::string world::name(role kind, std::size_t number)
{
    return fmt::format("{}-{}", kind == role::replica ? "core" : "front",
                       number + 1);
}

std::string world::settings(role kind, std::size_t number, bool bootstrap) const
{
    constexpr std::size_t seed_count = 3;
    const bool replica = kind == role::replica;
    const auto own = ip(kind, number);
    auto out = fmt::format("node_name: \"{}\"\nip: \"{}\"\nzone: \"z{}\"\n"
                           "region: \"r\"\nlisten:\n",
                           name(kind, number), own, number % 4);
    out += replica ? fmt::format("  control: \"{}:{}\"\n", own, control_port)
                   : fmt::format("  front: \"{0}:{1}\"\n"
                                 "  readiness: \"{0}:{2}\"\n",
                                 own, front_port, readiness_port_);
    out += fmt::format("internal_ports:\n  - {}\n  - {}\nseeds:\n",
                       internal_port_, internal_port_ + 4);
    for (std::size_t seed = 0; seed < std::min(seed_count, replicas); ++seed)
    {
        out += fmt::format("  - \"{}:{}\"\n", ip(role::replica, seed),
                           control_port);
    }
    out += fmt::format(
        "bootstrap: {}\nlimits:\n  max_fds: 4096\n  memory_mb: 256\n"
        "data_dir: {}\nbounds:\n  grace_s: 8\n  revoke_ms: 5000\n"
        "  lease_ms: 3000\n  report_window_s: 5\n  usage_late_s: 10\n"
        "  quota_window_s: 8\n  quota_overshoot: 0.1\n  quota_slack: 140000\n"
        "  retry_budget_ratio: 0.2\n  budget_window_s: 10\n"
        "  exposure_share: 0.1\n  exposure_slack: 50\n"
        "cloud_api:\n  address: \"{}:{}\"\n  rate_per_s: 44.0\n"
        "  max_lag_ms: 800\n  duty_per_s: 50.0\n",
        bootstrap,
        replica ? fmt::format("\"{}/{}\"", folder_, name(kind, number))
                : "null",
        ip(platform_number), platform_port_);
    return out;
}

void world::start()
{
    serve(ip(platform_number), platform_port_,
          [this](connection& peer) { answer_platform(peer); });
    for (std::size_t number = 0; number < replicas; ++number)
    {
        start_process(role::replica, number, true);
    }
    for (std::size_t number = 0; number < entries; ++number)
    {
        start_process(role::entry, number, true);
    }
}

void world::start_process(role kind, std::size_t number, bool bootstrap)
{
    constexpr int file_mode = 0600;
    const auto own = name(kind, number);
    const auto file = folder_ + "/" + own + ".yaml";
    std::ofstream{file} << settings(kind, number, bootstrap);
    const auto program =
        root_ + (kind == role::replica ? "/target/hyssop-platform-controld"
                                       : "/target/hyssop-platform-entryd");
    const auto variable = "HYSSOPDEAL_SETTINGS=" + file;
    const auto output = folder_ + "/" + own + ".log";
    const pid_t parent = ::getpid();
    const pid_t made = ::fork();
    if (made == 0)
    {
        (void)::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log =
            ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, file_mode);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        const std::array<char*, 2> arguments{const_cast<char*>(program.c_str()),
                                             nullptr};
        const std::array<char*, 2> variables{
            const_cast<char*>(variable.c_str()), nullptr};
        if (::getppid() == parent && ::chdir(root_.c_str()) == 0)
        {
            ::execve(program.c_str(), arguments.data(), variables.data());
        }
        ::_exit(127);
    }
    auto& one = processes_[own];
    one.pid = made;
    one.ending = false;
    one.start_at.reset();
    log_.line(own + " is started");
}

void world::signal(role kind, std::size_t number, int what)
{
    auto& one = processes_[name(kind, number)];
    one.ending = one.ending || what == SIGKILL || what == SIGTERM;
    log_.line(fmt::format("{} gets signal {}", name(kind, number), what));
    ::kill(one.pid, what);
}

void world::watch()
{
    constexpr milliseconds pause{500};
    const auto now = std::chrono::steady_clock::now();
    for (const auto kind : {role::replica, role::entry})
    {
        for (std::size_t number = 0;
             number < (kind == role::replica ? replicas : entries); ++number)
        {
            auto& one = processes_[name(kind, number)];
            int status = 0;
            if (one.pid > 0 && ::waitpid(one.pid, &status, WNOHANG) == one.pid)
            {
                one.pid = 0;
                one.own_ends += one.ending ? 0 : 1;
                one.start_at = now + pause;
                log_.line(
                    fmt::format("{} has ended {}: {} {}", name(kind, number),
                                one.ending ? "as told" : "by itself",
                                WIFSIGNALED(status) ? "signal" : "code",
                                WIFSIGNALED(status) ? WTERMSIG(status)
                                                    : WEXITSTATUS(status)));
            }
            if (one.start_at && *one.start_at <= now)
            {
                start_process(kind, number, false);
            }
        }
    }
}

std::size_t world::ends(role kind, std::size_t number) const
{
    const auto found = processes_.find(name(kind, number));
    return found == processes_.end() ? 0 : found->second.own_ends;
}

http_response world::order(const http_request& request, milliseconds limit)
{
    constexpr milliseconds answer_limit{1'000};
    constexpr milliseconds longest_pause{1'000};
    const auto end = std::chrono::steady_clock::now() + limit;
    milliseconds pause{100};
    http_response answer;
    for (std::size_t at = 0; std::chrono::steady_clock::now() < end; ++at)
    {
        const auto number = at % replicas;
        answer = call(ip(role::replica, number), control_port, request,
                      answer_limit);
        log_.line(fmt::format("operator: {} {} ({} bytes) at core-{}: {} {}",
                              request.method, request.target,
                              request.body.size(), number + 1, answer.status,
                              answer.body.substr(0, 90)));
        const bool clear = answer.status == 200 ||
                           (answer.status >= 400 && answer.status < 500 &&
                            answer.status != 408 && answer.status != 429);
        if (clear)
        {
            return answer;
        }
        watch();
        std::this_thread::sleep_for(pause);
        watch();
        pause = std::min(2 * pause, longest_pause);
    }
    return answer;
}

void world::list_servers(std::vector<std::string> servers)
{
    const std::lock_guard lock{list_mutex_};
    servers_ = std::move(servers);
}

void world::answer_platform(connection& peer)
{
    while (const auto request = peer.read_request())
    {
        std::string body = "{}";
        if (request->target.starts_with("/instances"))
        {
            const std::lock_guard lock{list_mutex_};
            body = "{\"instances\":[";
            for (std::size_t at = 0; at < servers_.size(); ++at)
            {
                body += (at == 0 ? "" : ",") + servers_[at];
            }
            body += "],\"next_token\":null}";
        }
        else
        {
            log_.line("platform: " + request->target + " " + request->body);
        }
        if (!peer.write(response_bytes(
                200, {{"Content-Type", "application/json"}}, body)))
        {
            return;
        }
    }
}

// [case] ---------------------------------------------------------------------

bool with_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view{text} != "0";
}

int run_case(int argc, char** argv, std::size_t replicas, std::size_t entries,
             const std::function<int(world&, record&)>& play)
{
    if (argc != 3)
    {
        return cannot_run;
    }
    int code = cannot_run;
    try
    {
        record log{argv[2]};
        world fleet{argv[1], log, replicas, entries};
        std::thread{[] {
            constexpr std::chrono::seconds time_limit{110};
            std::this_thread::sleep_for(time_limit);
            fmt::print(stderr, "The case takes too long.\n");
            std::_Exit(cannot_run);
        }}.detach();
        code = play(fleet, log);
        fleet.stop();
        (void)std::fflush(stdout);
        // Threads of connections that are still open must not outlive this.
        std::_Exit(code);
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "{}\n", error.what());
    }
    return code;
}

} // namespace review
