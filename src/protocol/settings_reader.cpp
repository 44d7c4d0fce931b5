#include <hyssopdeal/protocol/settings_reader.hpp>
#include <hyssopdeal/transport/json_text.hpp>

#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <variant>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "located_json.hpp"
#include "text_rules.hpp"

namespace hyssopdeal::protocol
{

namespace
{

constexpr std::size_t max_file_bytes = 4'194'304;

struct text_binding
{
    std::string* member = nullptr;
    text_rule rule = text_rule::any;
};

struct text_list_binding
{
    std::vector<std::string>* member = nullptr;
    text_rule rule = text_rule::any;
    std::size_t max_items = 0;
};

struct integer_binding
{
    std::function<std::int64_t()> get;
    std::function<void(std::int64_t)> set;
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

struct real_binding
{
    double* member = nullptr;
    double lowest = 0;
    double highest = 0;
};

struct flag_binding
{
    bool* member = nullptr;
};

struct choice_binding
{
    std::vector<std::string> names;
    std::function<std::size_t()> get;
    std::function<void(std::size_t)> set;
};

struct object_binding
{
    std::function<void(settings_fields&)> describe_member;
};

struct list_binding
{
    std::function<std::size_t()> size;
    std::function<void(std::size_t)> resize;
    std::function<void(std::size_t, settings_fields&)> describe_item;
    std::size_t max_items = 0;
};

struct ignored_binding
{};

using binding = std::variant<text_binding, text_list_binding, integer_binding,
                             real_binding, flag_binding, choice_binding,
                             object_binding, list_binding, ignored_binding>;

struct field
{
    std::string key;
    presence needed = presence::optional;
    binding target;
};

struct group_check
{
    std::string key;
    std::function<std::string()> found;
    std::string allowed;
};

} // namespace

struct settings_fields::impl
{
    std::vector<field> fields;
    std::vector<group_check> checks;
};

namespace
{

// Where a value stands, for mistakes: its line and its keys from the root.
struct place
{
    std::size_t line = 1;
    std::string path;
};

std::string joined(const std::string& path, std::string_view key)
{
    return path.empty() ? std::string(key) : fmt::format("{}.{}", path, key);
}

// Reads a tree into bindings and collects every mistake.
class field_reader
{
public:
    explicit field_reader(std::string_view name)
        : name_(name)
    {}

    void read_object(const located_json& value, const std::string& path,
                     settings_fields& fields)
    {
        if (value.kind != json_kind::object)
        {
            report({value.line, path}, shown(value), "an object");
            return;
        }
        auto& description = fields.internals();
        const auto before = mistakes_.size();
        report_unknown_keys(value, path, description);
        for (const auto& wanted : description.fields)
        {
            read_field(value, path, wanted);
        }
        if (mistakes_.size() == before)
        {
            run_checks(value, path, description);
        }
    }

    [[nodiscard]] transport::result<void> outcome() const
    {
        if (mistakes_.empty())
        {
            return {};
        }
        return transport::fail(transport::reason::bad_settings,
                               fmt::format("{}", fmt::join(mistakes_, "\n")));
    }

private:
    void report(const place& where, std::string_view found,
                std::string_view allowed)
    {
        mistakes_.push_back(
            fmt::format("{}:{}: {}: found {}, allowed {}", name_, where.line,
                        where.path.empty() ? "the whole text" : where.path,
                        found, allowed));
    }

    void report_unknown_keys(const located_json& value, const std::string& path,
                             const settings_fields::impl& description)
    {
        for (const auto& member : value.items)
        {
            const auto same = [&member](const field& known) {
                return known.key == member.key;
            };
            const auto& fields = description.fields;
            if (std::none_of(fields.begin(), fields.end(), same))
            {
                report({member.line, joined(path, member.key)},
                       "an unknown key", known_keys(description));
            }
        }
    }

    static std::string known_keys(const settings_fields::impl& description)
    {
        std::vector<std::string_view> keys;
        for (const auto& known : description.fields)
        {
            if (!std::holds_alternative<ignored_binding>(known.target))
            {
                keys.emplace_back(known.key);
            }
        }
        return fmt::format("{}", fmt::join(keys, ", "));
    }

    void run_checks(const located_json& value, const std::string& path,
                    const settings_fields::impl& description)
    {
        for (const auto& rule : description.checks)
        {
            const auto found = rule.found();
            if (!found.empty())
            {
                const auto* at = find(value, rule.key);
                report({at == nullptr ? value.line : at->line,
                        joined(path, rule.key)},
                       found, rule.allowed);
            }
        }
    }

    static const located_json* find(const located_json& object,
                                    std::string_view key)
    {
        for (const auto& member : object.items)
        {
            if (member.key == key)
            {
                return &member;
            }
        }
        return nullptr;
    }

    void read_field(const located_json& object, const std::string& path,
                    const field& wanted)
    {
        const auto* value = find(object, wanted.key);
        const auto here = joined(path, wanted.key);
        if (value != nullptr)
        {
            std::visit([&](const auto& target) { read(*value, here, target); },
                       wanted.target);
        }
        else if (wanted.needed == presence::required)
        {
            report({object.line, here}, "no such key", "a value: it is needed");
        }
    }

    void read(const located_json& value, const std::string& path,
              const text_binding& target)
    {
        read_text(value, path, target.rule, *target.member);
    }

    void read_text(const located_json& value, const std::string& path,
                   text_rule rule, std::string& into)
    {
        if (value.kind != json_kind::text || !follows_rule(value.text, rule))
        {
            report({value.line, path}, shown(value), rule_text(rule));
            return;
        }
        into = value.text;
    }

    void read(const located_json& value, const std::string& path,
              const text_list_binding& target)
    {
        if (!is_list(value, path, target.max_items))
        {
            return;
        }
        target.member->assign(value.items.size(), {});
        for (std::size_t at = 0; at < value.items.size(); ++at)
        {
            read_text(value.items[at], fmt::format("{}[{}]", path, at),
                      target.rule, (*target.member)[at]);
        }
    }

    bool is_list(const located_json& value, const std::string& path,
                 std::size_t max_items)
    {
        const bool good =
            value.kind == json_kind::array && value.items.size() <= max_items;
        if (!good)
        {
            report({value.line, path}, shown(value),
                   fmt::format("a list of at most {}", max_items));
        }
        return good;
    }

    void read(const located_json& value, const std::string& path,
              const integer_binding& target)
    {
        const bool good = value.kind == json_kind::integer &&
                          value.whole >= target.lowest &&
                          value.whole <= target.highest;
        if (!good)
        {
            report({value.line, path}, shown(value),
                   fmt::format("a whole number from {} to {}", target.lowest,
                               target.highest));
            return;
        }
        target.set(value.whole);
    }

    void read(const located_json& value, const std::string& path,
              const real_binding& target)
    {
        const bool number =
            value.kind == json_kind::integer || value.kind == json_kind::real;
        if (!number || value.number < target.lowest ||
            value.number > target.highest)
        {
            report({value.line, path}, shown(value),
                   fmt::format("a number from {} to {}", target.lowest,
                               target.highest));
            return;
        }
        *target.member = value.number;
    }

    void read(const located_json& value, const std::string& path,
              const flag_binding& target)
    {
        if (value.kind != json_kind::boolean)
        {
            report({value.line, path}, shown(value), "true or false");
            return;
        }
        *target.member = value.truth;
    }

    void read(const located_json& value, const std::string& path,
              const choice_binding& target)
    {
        const auto& names = target.names;
        const auto at = std::find(names.begin(), names.end(), value.text);
        if (value.kind != json_kind::text || at == names.end())
        {
            report({value.line, path}, shown(value),
                   fmt::format("one of \"{}\"", fmt::join(names, "\", \"")));
            return;
        }
        target.set(static_cast<std::size_t>(at - names.begin()));
    }

    void read(const located_json& value, const std::string& path,
              const object_binding& target)
    {
        settings_fields fields;
        target.describe_member(fields);
        read_object(value, path, fields);
    }

    void read(const located_json& value, const std::string& path,
              const list_binding& target)
    {
        if (!is_list(value, path, target.max_items))
        {
            return;
        }
        target.resize(0);
        target.resize(value.items.size());
        for (std::size_t at = 0; at < value.items.size(); ++at)
        {
            settings_fields fields;
            target.describe_item(at, fields);
            read_object(value.items[at], fmt::format("{}[{}]", path, at),
                        fields);
        }
    }

    void read(const located_json& /*value*/, const std::string& /*path*/,
              const ignored_binding& /*target*/)
    {}

    std::string_view name_;
    std::vector<std::string> mistakes_;
};

using ordered_json = nlohmann::ordered_json;

ordered_json written(settings_fields& fields);

// Turns one binding into JSON.
struct field_writer
{
    ordered_json operator()(const text_binding& target) const
    {
        return *target.member;
    }

    ordered_json operator()(const text_list_binding& target) const
    {
        auto list = ordered_json::array();
        for (const auto& text : *target.member)
        {
            list.push_back(text);
        }
        return list;
    }

    ordered_json operator()(const integer_binding& target) const
    {
        return target.get();
    }

    ordered_json operator()(const real_binding& target) const
    {
        return *target.member;
    }

    ordered_json operator()(const flag_binding& target) const
    {
        return *target.member;
    }

    ordered_json operator()(const choice_binding& target) const
    {
        const auto at = target.get();
        return at < target.names.size() ? ordered_json(target.names[at])
                                        : ordered_json();
    }

    ordered_json operator()(const object_binding& target) const
    {
        settings_fields fields;
        target.describe_member(fields);
        return written(fields);
    }

    ordered_json operator()(const list_binding& target) const
    {
        auto list = ordered_json::array();
        for (std::size_t at = 0; at < target.size(); ++at)
        {
            settings_fields fields;
            target.describe_item(at, fields);
            list.push_back(written(fields));
        }
        return list;
    }

    ordered_json operator()(const ignored_binding& /*target*/) const
    {
        return {};
    }
};

ordered_json written(settings_fields& fields)
{
    auto object = ordered_json::object();
    for (const auto& known : fields.internals().fields)
    {
        if (!std::holds_alternative<ignored_binding>(known.target))
        {
            object[known.key] = std::visit(field_writer{}, known.target);
        }
    }
    return object;
}

} // namespace

settings_fields::settings_fields()
    : impl_(std::make_unique<impl>())
{}

settings_fields::~settings_fields() = default;

settings_fields::impl& settings_fields::internals() noexcept
{
    return *impl_;
}

void settings_fields::text(std::string_view key, std::string& member,
                           text_rule rule, presence needed)
{
    impl_->fields.push_back(
        {std::string(key), needed, text_binding{&member, rule}});
}

void settings_fields::text_list(std::string_view key,
                                std::vector<std::string>& member,
                                text_rule rule, std::size_t max_items)
{
    impl_->fields.push_back({std::string(key), presence::optional,
                             text_list_binding{&member, rule, max_items}});
}

void settings_fields::real(std::string_view key, double& member, double lowest,
                           double highest, presence needed)
{
    impl_->fields.push_back(
        {std::string(key), needed, real_binding{&member, lowest, highest}});
}

void settings_fields::flag(std::string_view key, bool& member)
{
    impl_->fields.push_back(
        {std::string(key), presence::optional, flag_binding{&member}});
}

void settings_fields::instant(std::string_view key,
                              transport::wall_time& member, presence needed)
{
    bind_integer(
        key,
        [&member] { return std::int64_t{member.time_since_epoch().count()}; },
        [&member](std::int64_t value) {
            member = transport::wall_time{std::chrono::milliseconds{value}};
        },
        0, std::numeric_limits<std::int64_t>::max(), needed);
}

void settings_fields::check(std::string_view key,
                            std::function<std::string()> found,
                            std::string_view allowed)
{
    impl_->checks.push_back(
        {std::string(key), std::move(found), std::string(allowed)});
}

void settings_fields::ignore(std::string_view key)
{
    impl_->fields.push_back(
        {std::string(key), presence::optional, ignored_binding{}});
}

void settings_fields::bind_integer(std::string_view key,
                                   std::function<std::int64_t()> get,
                                   std::function<void(std::int64_t)> set,
                                   std::int64_t lowest, std::int64_t highest,
                                   presence needed)
{
    impl_->fields.push_back(
        {std::string(key), needed,
         integer_binding{std::move(get), std::move(set), lowest, highest}});
}

void settings_fields::bind_choice(std::string_view key,
                                  std::vector<std::string> names,
                                  std::function<std::size_t()> get,
                                  std::function<void(std::size_t)> set,
                                  presence needed)
{
    impl_->fields.push_back(
        {std::string(key), needed,
         choice_binding{std::move(names), std::move(get), std::move(set)}});
}

void settings_fields::bind_object(
    std::string_view key, std::function<void(settings_fields&)> describe_member,
    presence needed)
{
    impl_->fields.push_back(
        {std::string(key), needed, object_binding{std::move(describe_member)}});
}

void settings_fields::bind_list(
    std::string_view key, std::function<std::size_t()> size,
    std::function<void(std::size_t)> resize,
    std::function<void(std::size_t, settings_fields&)> describe_item,
    std::size_t max_items, presence needed)
{
    impl_->fields.push_back(
        {std::string(key), needed,
         list_binding{std::move(size), std::move(resize),
                      std::move(describe_item), max_items}});
}

transport::result<void> read_fields(std::string_view text,
                                    std::string_view name,
                                    settings_fields& fields)
{
    if (text.size() > max_file_bytes)
    {
        return transport::fail(transport::reason::bad_settings,
                               fmt::format("{}: found {} bytes, allowed {}",
                                           name, text.size(), max_file_bytes));
    }
    const auto tree = parse_located_json(text, name);
    if (!tree)
    {
        return tl::unexpected(tree.error());
    }
    field_reader reader(name);
    reader.read_object(*tree, "", fields);
    return reader.outcome();
}

transport::result<std::string> read_text_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return transport::fail(transport::reason::bad_settings,
                               fmt::format("{}: cannot be opened", path));
    }
    std::string text(max_file_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (file.bad() || text.size() > max_file_bytes)
    {
        return transport::fail(
            transport::reason::bad_settings,
            fmt::format("{}: cannot be read, or is over {} bytes", path,
                        max_file_bytes));
    }
    return text;
}

transport::result<std::string> read_secret_file(const std::string& path)
{
    struct stat about = {};
    if (::stat(path.c_str(), &about) == 0 &&
        (about.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    {
        return transport::fail(
            transport::reason::bad_settings,
            fmt::format("{}: found mode {:o}, allowed 600 or less: only its "
                        "owner may read a secret",
                        path, about.st_mode & 0777U));
    }
    auto text = read_text_file(path);
    if (!text)
    {
        return text;
    }
    while (!text->empty() && (text->back() == '\n' || text->back() == '\r'))
    {
        text->pop_back();
    }
    if (text->empty())
    {
        return transport::fail(transport::reason::bad_settings,
                               fmt::format("{}: found nothing, allowed a "
                                           "secret on one line",
                                           path));
    }
    return text;
}

std::string write_fields(settings_fields& fields)
{
    constexpr int indentation = 2;
    return transport::json_text(written(fields), indentation) + '\n';
}

} // namespace hyssopdeal::protocol
