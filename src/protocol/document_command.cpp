/// @file
/// The check of a configuration document from the command line.

#include <hyssopdeal/protocol/document_command.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include <hyssopdeal/protocol/document_check.hpp>

namespace hyssopdeal::protocol
{

namespace
{

constexpr int no_error = 0;
constexpr int document_error = 1;
constexpr int cannot_check = 2;
constexpr std::string_view check_option = "--check-document";

/// The JSON parser quotes what it read last, which may be an API key.
std::string without_quote(std::string text)
{
    const auto begin = text.find("; last read: '");
    if (begin == std::string::npos)
    {
        return text;
    }
    const auto expected = text.rfind("'; expected ");
    const auto end = expected == std::string::npos || expected < begin
                         ? text.size()
                         : expected + 1;
    return text.erase(begin, end - begin);
}

/// Reads one document, or prints why it cannot and sets the exit code.
///
/// @param undecoded Exit code of a document that cannot be decoded.
std::optional<service_document> read_document(const char* path,
                                              const document_decoder& decode,
                                              int undecoded, int& exit_code)
{
    std::error_code ignored;
    std::ifstream file{path, std::ios::binary};
    std::ostringstream bytes;
    bytes << file.rdbuf();
    if (!file || std::filesystem::is_directory(path, ignored))
    {
        fmt::print(stderr, "{}: the file cannot be read.\n", path);
        exit_code = cannot_check;
        return std::nullopt;
    }
    auto document = decode(bytes.str());
    if (!document)
    {
        fmt::print(stderr, "{}: {}\n", path,
                   without_quote(document.error().text));
        exit_code = undecoded;
        return std::nullopt;
    }
    return std::move(*document);
}

const char* name_of(finding_severity severity)
{
    return severity == finding_severity::error     ? "error"
           : severity == finding_severity::warning ? "warning"
                                                   : "note";
}

const char* name_of(difference_kind kind)
{
    return kind == difference_kind::added     ? "added"
           : kind == difference_kind::removed ? "removed"
                                              : "changed";
}

/// @return The exit code.
int print_findings(const service_document& document,
                   const service_document* in_force)
{
    int exit_code = no_error;
    const auto findings = check_document(document, in_force);
    for (const auto& finding : findings)
    {
        fmt::print("{}: {}: {}\n", name_of(finding.severity), finding.place,
                   finding.text);
        if (finding.severity == finding_severity::error)
        {
            exit_code = document_error;
        }
    }
    if (findings.empty())
    {
        fmt::print("no findings\n");
    }
    return exit_code;
}

void print_differences(const service_document& from, const service_document& to)
{
    const auto differences = compare_documents(from, to);
    for (const auto& difference : differences)
    {
        fmt::print("{}: {}{}{}\n", name_of(difference.kind), difference.place,
                   difference.text.empty() ? "" : ": ", difference.text);
    }
    if (differences.empty())
    {
        fmt::print("no differences\n");
    }
}

} // namespace

bool is_document_check(int argc, char** argv)
{
    return argc >= 2 && argv[1] == check_option;
}

int run_document_check(int argc, char** argv, const document_decoder& decode)
{
    constexpr int alone = 3;
    constexpr int compared = 5;
    const bool against =
        argc == compared && std::string_view{argv[3]} == "--against";
    if (argc != alone && !against)
    {
        fmt::print(stderr, "usage: {} {} FILE [--against FILE]\n", argv[0],
                   check_option);
        return cannot_check;
    }
    int exit_code = no_error;
    const auto document =
        read_document(argv[2], decode, document_error, exit_code);
    if (!document)
    {
        return exit_code;
    }
    if (!against)
    {
        exit_code = print_findings(*document, nullptr);
        fmt::print("checked alone, without --against\n");
        return exit_code;
    }
    const auto in_force =
        read_document(argv[4], decode, cannot_check, exit_code);
    if (!in_force)
    {
        return exit_code;
    }
    exit_code = print_findings(*document, &*in_force);
    print_differences(*in_force, *document);
    return exit_code;
}

} // namespace hyssopdeal::protocol
