#ifndef HYSSOPDEAL_SRC_TRANSPORT_CURL_CALL_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_CURL_CALL_HPP

/// @file
/// Internal: one HTTP call as libcurl runs it.
///
/// Index: [owners] [http_call_impl] [checks]

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include <curl/curl.h>

#include <hyssopdeal/transport/http_client.hpp>

#include "curl_multi_loop.hpp"

namespace hyssopdeal::transport
{

// [owners] -------------------------------------------------------------------

struct slist_deleter
{
    void operator()(curl_slist* list) const noexcept
    {
        curl_slist_free_all(list);
    }
};

struct easy_deleter
{
    void operator()(CURL* handle) const noexcept
    {
        curl_easy_cleanup(handle);
    }
};

using slist_ptr = std::unique_ptr<curl_slist, slist_deleter>;
using easy_ptr = std::unique_ptr<CURL, easy_deleter>;

// [http_call_impl] -----------------------------------------------------------

/// State of a call; kept alive by the client until the call ends.
struct http_call::impl : std::enable_shared_from_this<http_call::impl>
{
    curl_multi_loop* loop = nullptr; // emptied at the end of the call
    std::unordered_set<std::shared_ptr<impl>>* running = nullptr;
    http_call_settings settings; // with the body that is sent
    /// Shared, so that a handler that cancels its call outlives itself.
    std::shared_ptr<http_call_handlers> handlers; // null once over
    easy_ptr easy;
    slist_ptr lines;
    std::vector<http_header> head;
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    int status = 0;
    int dispatches = 0;   // times that libcurl was about to send the request
    bool in_head = false; // between a status line and its empty line
    bool bodyless_method = false;
    bool cancelled = false;
    bool pauses = false;
    reason stopped_by = reason::internal; // why a callback ended the transfer

    void configure(std::string_view address, const http_request& request);
    void start();
    void cancel();
    void finish(CURLcode code);
    void report(http_call_end end);
    [[nodiscard]] failure failure_for(CURLcode code) const;
    [[nodiscard]] bool ended_by_close() const;

    std::size_t take_header(std::string_view line);
    bool add_header(std::string_view line);
    std::size_t reject_head();
    std::size_t take_data(std::string_view piece);

    static std::size_t on_header(char* data, std::size_t size,
                                 std::size_t count, void* self);
    static std::size_t on_data(char* data, std::size_t size, std::size_t count,
                               void* self);
    static int before_request(void* self, char* remote_ip, char* local_ip,
                              int remote_port, int local_port);
};

// [checks] -------------------------------------------------------------------

/// @return Whether a request holds nothing that could be read as more lines.
[[nodiscard]] bool is_sendable(const http_request& request) noexcept;

} // namespace hyssopdeal::transport

#endif
