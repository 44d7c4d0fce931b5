/// @file
/// One request and its answer.

#include <utility>

#include "transport/head_check.hpp"
#include "transport/http1_connection.hpp"
#include "transport/http1_writer.hpp"

namespace hyssopdeal::transport
{

http1_exchange::impl::~impl()
{
    if (connection)
    {
        connection->close(close_cause::dropped);
    }
}

void http1_exchange::impl::end()
{
    left = nullptr;
    const auto from = std::exchange(connection, nullptr);
    // As its head said: the caller may have sent the next request already.
    from->answered(!close_after);
}

http1_exchange::http1_exchange(std::shared_ptr<impl> state) noexcept
    : state_(std::move(state))
{}

const http_request& http1_exchange::request() const noexcept
{
    return state_->asked->request;
}

std::shared_ptr<const std::string> http1_exchange::shared_body() const
{
    return {state_->asked, &state_->asked->request.body};
}

monotonic_time http1_exchange::received_at() const noexcept
{
    return state_->received_at;
}

void http1_exchange::on_left(std::function<void()> handler)
{
    state_->left = std::move(handler);
}

void http1_exchange::send(const http_response& response)
{
    if (over())
    {
        return;
    }
    const auto use = state_->connection->keep_offered() && !state_->close_after
                         ? connection_use::keep
                         : connection_use::close;
    state_->close_after = use == connection_use::close;
    const auto connection = state_->connection;
    connection->send(write_response(response, use, request().method));
    if (!over())
    {
        state_->end();
    }
}

void http1_exchange::begin(int status, const std::vector<http_header>& headers)
{
    if (over())
    {
        return;
    }
    const auto use = state_->connection->keep_offered() && !state_->close_after
                         ? connection_use::keep
                         : connection_use::close;
    state_->close_after = use == connection_use::close;
    state_->begun = true;
    state_->bodyless = has_no_body(request().method, status);
    const auto connection = state_->connection;
    if (!connection->takes_chunks())
    {
        state_->held = http_response{status, headers, {}};
        return;
    }
    const auto framing =
        state_->bodyless ? body_framing::none : body_framing::chunked;
    connection->send(write_head(status, headers, framing, use));
}

void http1_exchange::write(std::string_view piece)
{
    if (over() || piece.empty() || state_->bodyless)
    {
        return;
    }
    const auto connection = state_->connection;
    if (!state_->held)
    {
        return connection->send(write_chunk(piece));
    }
    connection->hold_unsent(state_->held->body.size() + piece.size());
    state_->held->body += piece;
    if (state_->held->body.size() > connection->max_unsent_bytes())
    {
        connection->close(close_cause::unread_response);
    }
}

void http1_exchange::finish()
{
    if (over())
    {
        return;
    }
    if (const auto whole = std::exchange(state_->held, std::nullopt))
    {
        return send(*whole);
    }
    const auto connection = state_->connection;
    if (!state_->bodyless)
    {
        connection->send(last_chunk);
    }
    if (!over())
    {
        state_->end();
    }
}

void http1_exchange::abort()
{
    if (over())
    {
        return;
    }
    state_->left = nullptr;
    const auto connection = state_->connection;
    connection->close(close_cause::aborted);
}

void http1_exchange::close_after()
{
    state_->close_after = true;
}

bool http1_exchange::over() const noexcept
{
    return !state_->connection;
}

} // namespace hyssopdeal::transport
