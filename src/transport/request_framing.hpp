#ifndef HYSSOPDEAL_SRC_TRANSPORT_REQUEST_FRAMING_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_REQUEST_FRAMING_HPP

/// @file
/// Internal: tells how much of a connection's bytes are bodies of announced
/// length. RESTinio allocates these at once in their size; a body in chunks
/// grows twofold, and notes are kept of each chunk.
///
/// Index: [request_framing]

#include <cstddef>
#include <string_view>

#include <http_parser.h>

namespace hyssopdeal::transport
{

// [request_framing] ----------------------------------------------------------

/// Parses the same bytes as RESTinio, by the same parser.
class request_framing
{
public:
    request_framing();

    /// Takes the next bytes of the connection.
    void feed(std::string_view bytes);

    /// The requests so far are answered; later ones are counted from 0.
    void begin_next() noexcept;

    /// @return Bytes of bodies of announced length; 0 when a body has chunks
    ///     or its framing is not known.
    [[nodiscard]] std::size_t body_bytes() const noexcept;

    /// @return Carriage returns among these.
    [[nodiscard]] std::size_t body_line_ends() const noexcept;

    /// RESTinio does not tell the version of a request.
    ///
    /// @return Whether a request had another one than HTTP/1.1 and HTTP/1.0, or
    ///     chunks with the latter, which has none.
    [[nodiscard]] bool version_is_wrong() const noexcept
    {
        return wrong_version_;
    }

private:
    static const http_parser_settings& callbacks();
    static request_framing& self(http_parser* parser);

    http_parser parser_{};
    std::size_t body_bytes_ = 0;
    std::size_t body_line_ends_ = 0;
    bool open_ = false;    ///< A request has begun and is not whole.
    bool chunked_ = false; ///< One of the requests counted.
    bool wrong_version_ = false;
    bool failed_ = false; ///< What follows cannot be parsed.
};

} // namespace hyssopdeal::transport

#endif
