#ifndef HYSSOPDEAL_SRC_TRANSPORT_CURL_MULTI_LOOP_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_CURL_MULTI_LOOP_HPP

/// @file
/// Internal: drives libcurl's multi interface by an Asio context.
///
/// Index: [curl_multi_loop]

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

namespace hyssopdeal::transport
{

// [curl_multi_loop] ----------------------------------------------------------

/// One multi handle on one loop. libcurl must not be entered again from its own
/// callbacks: what a callback wants to do with a handle goes through defer().
class curl_multi_loop
{
public:
    /// Gets a finished handle, which is already removed from the multi handle.
    using done_handler = std::function<void(CURL*, CURLcode)>;

    /// @param max_connections 0: no cap.
    curl_multi_loop(asio::io_context& context, std::size_t max_connections,
                    done_handler on_done);
    curl_multi_loop(const curl_multi_loop&) = delete;
    curl_multi_loop& operator=(const curl_multi_loop&) = delete;
    ~curl_multi_loop();

    /// Runs now, or right after the libcurl call that is under way.
    void defer(std::function<void()> action);

    /// Starts a transfer. Call it through defer().
    ///
    /// @return Whether libcurl took the handle.
    [[nodiscard]] bool add(CURL* handle);

    /// Ends a transfer; closes its connection if the answer is not whole.
    /// Call it through defer().
    void remove(CURL* handle);

    /// Lets a paused transfer go on. Call it through defer().
    void unpause(CURL* handle);

private:
    struct watcher;

    static int on_socket(CURL* handle, curl_socket_t socket, int what,
                         void* self, void* unused);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);

    void watch(curl_socket_t socket, int what);
    void unwatch(curl_socket_t socket);
    void arm(const std::shared_ptr<watcher>& item);
    void set_timer(long timeout_ms);
    void act(curl_socket_t socket, int events);
    void collect_done();
    void run_deferred();

    asio::io_context& context_;
    done_handler on_done_;
    CURLM* multi_;
    asio::steady_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unordered_map<curl_socket_t, std::shared_ptr<watcher>> watchers_;
    std::vector<std::function<void()>> deferred_;
    bool inside_ = false; // a libcurl call is under way
};

} // namespace hyssopdeal::transport

#endif
