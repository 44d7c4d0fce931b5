#include "peer_link.hpp"

#include <algorithm>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <hyssopdeal/transport/digest.hpp>
#include <hyssopdeal/transport/logging.hpp>

#include "transport/socket_options.hpp"

namespace hyssopdeal::protocol
{

using transport::log_info;
using transport::log_part;
using transport::log_warning;

namespace
{

constexpr std::size_t read_buffer_bytes = 16'384;
constexpr std::size_t batch_bytes = 262'144;

link_side other(link_side side) noexcept
{
    return side == link_side::dialler ? link_side::listener
                                      : link_side::dialler;
}

} // namespace

peer_link::peer_link(asio::ip::tcp::socket socket,
                     const peer_hub_settings& settings, link_side side,
                     std::string peer, peer_link_handlers handlers)
    : socket_(std::move(socket)),
      deadline_(socket_.get_executor()),
      next_attempt_(socket_.get_executor()),
      watch_(socket_.get_executor()),
      settings_(settings),
      side_(side),
      peer_(std::move(peer)),
      handlers_(std::move(handlers)),
      own_(make_greeting(settings.self)),
      read_buffer_(read_buffer_bytes)
{}

void peer_link::dial(const asio::ip::tcp::endpoint& endpoint)
{
    set_deadline();
    try_connect(endpoint);
}

/// An opening packet that is lost is sent again only after a second, so another
/// connection is tried beside it; the first to open is used.
void peer_link::try_connect(const asio::ip::tcp::endpoint& endpoint)
{
    auto attempt =
        std::make_shared<asio::ip::tcp::socket>(socket_.get_executor());
    attempts_.push_back(attempt);
    attempt->async_connect(
        endpoint, [self = shared_from_this(), attempt](const auto& error) {
            if (self->stage_ == stage::closed || self->socket_.is_open())
            {
                return;
            }
            if (error)
            {
                return self->close();
            }
            self->socket_ = std::move(*attempt);
            self->drop_attempts();
            self->start_handshake();
        });
    next_attempt_.expires_after(settings_.connect_again_after);
    next_attempt_.async_wait([self = shared_from_this(),
                              endpoint](const auto& error) {
        const bool waits =
            !error && self->stage_ != stage::closed && !self->socket_.is_open();
        if (waits)
        {
            self->try_connect(endpoint);
        }
    });
}

void peer_link::drop_attempts()
{
    next_attempt_.cancel();
    asio::error_code ignored;
    for (const auto& attempt : std::exchange(attempts_, {}))
    {
        attempt->close(ignored);
    }
}

void peer_link::accept()
{
    set_deadline();
    start_handshake();
}

bool peer_link::send(const peer_message& message)
{
    auto bytes = encode_message(message);
    if (stage_ == stage::closed ||
        bytes.size() > settings_.max_message_bytes + envelope_bytes ||
        queued_bytes_ + bytes.size() > settings_.max_queued_bytes)
    {
        return false;
    }
    queued_bytes_ += bytes.size();
    queue_.push_back({std::move(bytes), message.correlation, true});
    if (stage_ == stage::open)
    {
        flush();
    }
    return true;
}

bool peer_link::withdraw(std::uint64_t correlation)
{
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [correlation](const auto& item) {
                                        return item.correlation == correlation;
                                    });
    if (found == queue_.end())
    {
        return false;
    }
    queued_bytes_ -= found->bytes.size();
    queue_.erase(found);
    return true;
}

bool peer_link::is_queued(std::uint64_t correlation) const
{
    return std::any_of(queue_.begin(), queue_.end(),
                       [correlation](const auto& item) {
                           return item.correlation == correlation;
                       });
}

void peer_link::close()
{
    if (stage_ == stage::closed)
    {
        return;
    }
    stage_ = stage::closed;
    asio::error_code ignored;
    socket_.close(ignored);
    deadline_.cancel();
    watch_.cancel();
    drop_attempts();
    const auto handlers = std::exchange(handlers_, {});
    if (handlers.on_closed)
    {
        handlers.on_closed(*this);
    }
}

const std::string& peer_link::peer() const noexcept
{
    return peer_;
}

void peer_link::set_deadline()
{
    deadline_.expires_after(settings_.connect_time_limit);
    deadline_.async_wait([self = shared_from_this()](const auto& error) {
        if (!error && self->stage_ != stage::open)
        {
            self->close();
        }
    });
}

void peer_link::start_handshake()
{
    transport::limit_silence(socket_, settings_.silence_limit);
    write(encode_greeting(own_));
    read();
}

void peer_link::read()
{
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](const auto& error, std::size_t length) {
            if (self->stage_ == stage::closed)
            {
                return;
            }
            if (error)
            {
                self->close();
                return;
            }
            self->unheard_bytes_ = 0;
            self->probed_ = false;
            self->take({self->read_buffer_.data(), length});
        });
}

void peer_link::take(std::string_view bytes)
{
    splitter_.feed(bytes);
    while (stage_ != stage::closed)
    {
        const auto frame = splitter_.next();
        if (!frame || (frame->has_value() && !take_frame(**frame)))
        {
            if (const auto suppressed = settings_.bad_input->count())
            {
                log_warning(
                    log_part::peer,
                    "Closed a link for bad input. peer={} suppressed={}", peer_,
                    *suppressed);
            }
            close();
            return;
        }
        if (!frame->has_value())
        {
            read();
            return;
        }
    }
}

bool peer_link::take_frame(const std::string& frame)
{
    switch (stage_)
    {
    case stage::greeting:
        return take_greeting(frame);
    case stage::proving:
        return take_proof(frame);
    case stage::open:
        return take_message(frame);
    case stage::closed:
        break;
    }
    return true;
}

bool peer_link::take_greeting(const std::string& frame)
{
    auto greeting = decode_greeting(frame);
    if (!greeting || (!peer_.empty() && greeting->name != peer_))
    {
        return false;
    }
    theirs_ = std::move(*greeting);
    peer_ = theirs_.name;
    stage_ = stage::proving;
    write(encode_proof(proof_of(side_)));
    return true;
}

bool peer_link::take_proof(const std::string& frame)
{
    const auto proof = decode_proof(frame);
    if (!proof || !transport::same_secret(*proof, proof_of(other(side_))))
    {
        return false;
    }
    stage_ = stage::open;
    deadline_.cancel();
    splitter_.set_cap(settings_.max_message_bytes + envelope_bytes);
    log_info(log_part::peer, "Link is open. peer={}", peer_);
    flush();
    return true;
}

bool peer_link::take_message(const std::string& frame)
{
    auto message = decode_message(frame);
    if (!message)
    {
        return false;
    }
    if (message->channel == peer_channel::probing)
    {
        if (message->kind == frame_kind::message)
        {
            // Wants no sign in turn: two idle processes would never rest.
            write(encode_message(
                      {peer_channel::probing, 0, frame_kind::answer, {}}),
                  false);
        }
        return true;
    }
    handlers_.on_message(*this, std::move(*message));
    return true;
}

// [signs of life] ------------------------------------------------------------

/// The kernel of the other host, or a relay, may acknowledge what its process
/// never reads, so the process itself is asked.
void peer_link::expect_sign_of_life(std::size_t bytes)
{
    unheard_bytes_ += bytes;
    if (bytes > 0 && stage_ == stage::open && theirs_.answers_probes &&
        !watching_)
    {
        watching_ = true;
        watch_for(settings_.probe_after);
    }
}

void peer_link::watch_for(std::chrono::milliseconds pause)
{
    watch_.expires_after(pause);
    watch_.async_wait([self = shared_from_this()](const auto& error) {
        if (!error && self->stage_ == stage::open)
        {
            self->on_watch();
        }
    });
}

void peer_link::on_watch()
{
    asio::error_code ignored;
    // What waits unread here is a sign too: this process may have been paused.
    if (unheard_bytes_ == 0 || socket_.available(ignored) > 0)
    {
        watching_ = false;
        return;
    }
    if (!probed_)
    {
        probed_ = true;
        write(encode_message(
            {peer_channel::probing, 0, frame_kind::message, {}}));
        watch_for(silence_allowed());
        return;
    }
    log_warning(log_part::peer, "Closed a link without a sign of life. peer={}",
                peer_);
    close();
}

/// @return How long the answer to a probe may take behind what was sent before.
std::chrono::milliseconds peer_link::silence_allowed() const
{
    constexpr std::size_t ms_in_s = 1'000;
    const auto ahead = std::max(unheard_bytes_, queued_bytes_);
    return settings_.silence_limit +
           std::chrono::milliseconds{ahead * ms_in_s /
                                     settings_.slowest_bytes_per_s};
}

std::string peer_link::proof_of(link_side side) const
{
    return side_ == link_side::dialler
               ? make_proof(settings_.shared_key, side, own_, theirs_)
               : make_proof(settings_.shared_key, side, theirs_, own_);
}

void peer_link::write(std::string bytes, bool wants_sign)
{
    queued_bytes_ += bytes.size();
    handshake_.push_back({std::move(bytes), 0, wants_sign});
    flush();
}

void peer_link::fill_batch()
{
    if (!handshake_.empty())
    {
        writing_.push_back(std::move(handshake_.front()));
        handshake_.pop_front();
        return;
    }
    std::size_t size = 0;
    while (stage_ == stage::open && !queue_.empty() && size < batch_bytes)
    {
        size += queue_.front().bytes.size();
        writing_.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
}

void peer_link::flush()
{
    if (!writing_.empty() || stage_ == stage::closed)
    {
        return;
    }
    fill_batch();
    if (writing_.empty())
    {
        return;
    }
    std::vector<asio::const_buffer> buffers;
    for (const auto& item : writing_)
    {
        buffers.push_back(asio::buffer(item.bytes));
        expect_sign_of_life(item.wants_sign ? item.bytes.size() : 0);
    }
    asio::async_write(
        socket_, buffers,
        [self = shared_from_this()](const auto& error, std::size_t length) {
            self->queued_bytes_ -= std::min(length, self->queued_bytes_);
            self->writing_.clear();
            if (error)
            {
                self->close();
                return;
            }
            self->flush();
        });
}

} // namespace hyssopdeal::protocol
