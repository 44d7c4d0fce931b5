#ifndef HYSSOPDEAL_PROTOCOL_SETTINGS_READER_HPP
#define HYSSOPDEAL_PROTOCOL_SETTINGS_READER_HPP

/// @file
/// Reads JSON with comments into plain structs and writes them back.
///
/// Index: [text_rule] [presence] [settings_fields] [described] [reading]
///        [writing]
///
/// A struct is made known by one function beside it, found by its namespace:
///
///     void describe(settings_fields& fields, listener& value)
///     {
///         fields.text("address", value.address, text_rule::ip_number);
///         fields.integer("port", value.port, 0, 65'535);
///     }
///     ...
///     auto read = read_settings_file<listener>("listener.json");
///
/// Every mistake is reported at once, each on a line of its own:
/// `FILE:LINE: KEY: found X, allowed Y`. Unknown and repeated keys are
/// mistakes; a key that is missing keeps the member's default.

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [text_rule] ----------------------------------------------------------------

/// What a text may hold.
enum class text_rule : std::uint8_t
{
    any,         ///< Up to 4,096 bytes.
    name,        ///< 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'.
    name_or_any, ///< A name, or "*".
    ip_number,   ///< IPv4 or IPv6 number.
    address,     ///< `IP:port`, IPv6 in brackets.
    sha256_hex,  ///< 64 lower-case hex digits.
    url_path,    ///< Starts with '/'.
    file_path    ///< Not empty.
};

// [presence] -----------------------------------------------------------------

/// Whether a key may be left out.
enum class presence : std::uint8_t
{
    optional,
    required
};

/// One value of an enumeration and its name in JSON.
template <class Enum>
struct choice_name
{
    Enum value;            ///< The value.
    std::string_view name; ///< Its name.
};

// [settings_fields] ----------------------------------------------------------

class settings_fields;

/// A struct that has a `describe` function in its namespace.
template <class T>
concept described = requires(settings_fields& fields, T& value)
{
    describe(fields, value);
};

/// The keys of one JSON object, each bound to a member and its allowed values.
class settings_fields
{
public:
    settings_fields();
    settings_fields(const settings_fields&) = delete;
    settings_fields& operator=(const settings_fields&) = delete;
    ~settings_fields();

    /// Binds a text.
    void text(std::string_view key, std::string& member,
              text_rule rule = text_rule::any,
              presence needed = presence::optional);

    /// Binds a list of texts.
    void text_list(std::string_view key, std::vector<std::string>& member,
                   text_rule rule, std::size_t max_items);

    /// Binds a whole number between two bounds, both allowed.
    template <std::integral T>
    void integer(std::string_view key, T& member, std::int64_t lowest,
                 std::int64_t highest, presence needed = presence::optional)
    {
        bind_integer(
            key, [&member] { return static_cast<std::int64_t>(member); },
            [&member](std::int64_t value) { member = static_cast<T>(value); },
            lowest, highest, needed);
    }

    /// Binds a number between two bounds, both allowed.
    void real(std::string_view key, double& member, double lowest,
              double highest, presence needed = presence::optional);

    /// Binds true or false.
    void flag(std::string_view key, bool& member);

    /// Binds a duration, a number in its own unit; the key tells the unit
    /// (`_ns`, `_us`, `_ms`, `_s`).
    template <class Rep, class Period>
    void duration(std::string_view key,
                  std::chrono::duration<Rep, Period>& member,
                  std::chrono::duration<Rep, Period> lowest,
                  std::chrono::duration<Rep, Period> highest,
                  presence needed = presence::optional)
    {
        using type = std::chrono::duration<Rep, Period>;
        bind_integer(
            key,
            [&member] { return static_cast<std::int64_t>(member.count()); },
            [&member](std::int64_t value) {
                member = type{static_cast<Rep>(value)};
            },
            static_cast<std::int64_t>(lowest.count()),
            static_cast<std::int64_t>(highest.count()), needed);
    }

    /// Binds a wall time, a number of milliseconds since 1970 (UTC).
    void instant(std::string_view key, transport::wall_time& member,
                 presence needed = presence::optional);

    /// Binds an enumeration, written by the names of its values.
    template <class Enum>
    void choice(std::string_view key, Enum& member,
                const std::vector<choice_name<Enum>>& names,
                presence needed = presence::optional)
    {
        std::vector<std::string> texts;
        std::vector<Enum> values;
        for (const auto& entry : names)
        {
            texts.emplace_back(entry.name);
            values.push_back(entry.value);
        }
        bind_choice(
            key, std::move(texts),
            [&member, values]() -> std::size_t {
                std::size_t at = 0;
                while (at < values.size() && values[at] != member)
                {
                    ++at;
                }
                return at;
            },
            [&member, values](std::size_t at) { member = values[at]; }, needed);
    }

    /// Binds an object inside this one.
    template <class T>
    requires described<T>
    void object(std::string_view key, T& member,
                presence needed = presence::optional)
    {
        bind_object(
            key,
            [&member](settings_fields& fields) { describe(fields, member); },
            needed);
    }

    /// Binds a list of objects.
    template <class T>
    requires described<T>
    void list(std::string_view key, std::vector<T>& member,
              std::size_t max_items, presence needed = presence::optional)
    {
        bind_list(
            key, [&member] { return member.size(); },
            [&member](std::size_t size) { member.resize(size); },
            [&member](std::size_t at, settings_fields& fields) {
                describe(fields, member[at]);
            },
            max_items, needed);
    }

    /// Adds a check over several members, run when all of them were read.
    ///
    /// @param key Key that the mistake is reported at.
    /// @param found Returns what is wrong, or nothing when all is well.
    /// @param allowed What would be right.
    void check(std::string_view key, std::function<std::string()> found,
               std::string_view allowed);

    /// Accepts a key that is read by somebody else, and skips it.
    void ignore(std::string_view key);

    struct impl;

    /// For the reader and the writer of this module.
    [[nodiscard]] impl& internals() noexcept;

private:
    void bind_integer(std::string_view key, std::function<std::int64_t()> get,
                      std::function<void(std::int64_t)> set,
                      std::int64_t lowest, std::int64_t highest,
                      presence needed);
    void bind_choice(std::string_view key, std::vector<std::string> names,
                     std::function<std::size_t()> get,
                     std::function<void(std::size_t)> set, presence needed);
    void bind_object(std::string_view key,
                     std::function<void(settings_fields&)> describe_member,
                     presence needed);
    void
    bind_list(std::string_view key, std::function<std::size_t()> size,
              std::function<void(std::size_t)> resize,
              std::function<void(std::size_t, settings_fields&)> describe_item,
              std::size_t max_items, presence needed);

    std::unique_ptr<impl> impl_;
};

// [reading] ------------------------------------------------------------------

/// Reads a text into bound members.
///
/// @param text JSON with comments, at most 4 MiB.
/// @param name Named in mistakes, such as the file's name.
/// @return Nothing, or all mistakes, one a line.
[[nodiscard]] transport::result<void> read_fields(std::string_view text,
                                                  std::string_view name,
                                                  settings_fields& fields);

/// Reads a whole file of at most 4 MiB.
///
/// @return Its bytes, or why it could not be read.
[[nodiscard]] transport::result<std::string>
read_text_file(const std::string& path);

/// Reads a secret from a file that only its owner may read or write.
///
/// @return Its text without the closing line end, or why it was refused.
[[nodiscard]] transport::result<std::string>
read_secret_file(const std::string& path);

/// Reads a struct from a text.
///
/// @param defaults Values of the keys that are left out.
template <class T>
requires described<T>
[[nodiscard]] transport::result<T>
read_settings(std::string_view text, std::string_view name, T defaults = {})
{
    settings_fields fields;
    describe(fields, defaults);
    if (auto read = read_fields(text, name, fields); !read)
    {
        return tl::unexpected(std::move(read.error()));
    }
    return defaults;
}

/// Reads a struct from a file.
template <class T>
requires described<T>
[[nodiscard]] transport::result<T> read_settings_file(const std::string& path,
                                                      T defaults = {})
{
    const auto text = read_text_file(path);
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    return read_settings<T>(*text, path, std::move(defaults));
}

// [writing] ------------------------------------------------------------------

/// Writes bound members as JSON: every key, in the order of the description,
/// two spaces of indentation, a closing line end. Equal values give equal
/// text.
[[nodiscard]] std::string write_fields(settings_fields& fields);

/// Writes a struct as JSON; see write_fields().
template <class T>
requires described<T>
[[nodiscard]] std::string write_settings(T value)
{
    settings_fields fields;
    describe(fields, value);
    return write_fields(fields);
}

} // namespace hyssopdeal::protocol

#endif
