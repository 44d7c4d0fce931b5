#ifndef HYSSOPDEAL_PROTOCOL_DOCUMENT_COMMAND_HPP
#define HYSSOPDEAL_PROTOCOL_DOCUMENT_COMMAND_HPP

/// @file
/// The command `--check-document FILE [--against FILE]`, which checks a
/// configuration document before it is sent.
///
/// Index: [command]

#include <functional>
#include <string>

#include <hyssopdeal/protocol/service_document.hpp>

namespace hyssopdeal::protocol
{

// [command] ------------------------------------------------------------------

/// Reads a document from a file's bytes.
using document_decoder =
    std::function<transport::result<service_document>(const std::string&)>;

/// @return Whether the arguments ask for the check of a document.
[[nodiscard]] bool is_document_check(int argc, char** argv);

/// Prints findings and differences on standard output, and what prevents the
/// check on standard error.
///
/// @return The exit code: 0; 1 if the document has an error or cannot be
///     decoded; 2 for wrong arguments, a file that cannot be read, or a
///     document to compare with that cannot be decoded.
[[nodiscard]] int run_document_check(int argc, char** argv,
                                     const document_decoder& decode);

} // namespace hyssopdeal::protocol

#endif
