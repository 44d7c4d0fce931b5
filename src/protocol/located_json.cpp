#include "located_json.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssopdeal::protocol
{

namespace
{

constexpr std::size_t max_depth = 32;
constexpr std::size_t max_values = 200'000;
constexpr std::size_t max_shown_bytes = 60;

// Walks the text and counts the lines that the lexer has taken.
class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(const char* at, std::size_t* lines)
        : at_(at),
          lines_(lines)
    {}

    reference operator*() const
    {
        return *at_;
    }

    counting_iterator& operator++()
    {
        *lines_ += *at_ == '\n' ? 1 : 0;
        ++at_;
        return *this;
    }

    bool operator==(const counting_iterator& other) const
    {
        return at_ == other.at_;
    }

private:
    const char* at_;
    std::size_t* lines_;
};

// Receives the parser's events and builds the tree.
class tree_builder
{
public:
    using number_integer_t = nlohmann::json::number_integer_t;
    using number_unsigned_t = nlohmann::json::number_unsigned_t;
    using number_float_t = nlohmann::json::number_float_t;
    using string_t = nlohmann::json::string_t;
    using binary_t = nlohmann::json::binary_t;

    explicit tree_builder(const std::size_t* lines)
        : lines_(lines)
    {}

    bool null()
    {
        return add({}) != nullptr;
    }

    bool boolean(bool value)
    {
        located_json node;
        node.kind = json_kind::boolean;
        node.truth = value;
        return add(std::move(node)) != nullptr;
    }

    bool number_integer(number_integer_t value)
    {
        located_json node;
        node.kind = json_kind::integer;
        node.whole = value;
        node.number = static_cast<double>(value);
        return add(std::move(node)) != nullptr;
    }

    bool number_unsigned(number_unsigned_t value)
    {
        constexpr auto most = std::numeric_limits<std::int64_t>::max();
        if (value <= static_cast<number_unsigned_t>(most))
        {
            return number_integer(static_cast<number_integer_t>(value));
        }
        return number_float(static_cast<double>(value), {});
    }

    bool number_float(number_float_t value, const string_t& /*text*/)
    {
        located_json node;
        node.kind = json_kind::real;
        node.number = value;
        return add(std::move(node)) != nullptr;
    }

    bool string(string_t& value)
    {
        located_json node;
        node.kind = json_kind::text;
        node.text = std::move(value);
        return add(std::move(node)) != nullptr;
    }

    bool binary(binary_t& /*value*/)
    {
        return false;
    }

    bool start_object(std::size_t /*size*/)
    {
        return open(json_kind::object);
    }

    bool start_array(std::size_t /*size*/)
    {
        return open(json_kind::array);
    }

    bool end_object()
    {
        open_.pop_back();
        return true;
    }

    bool end_array()
    {
        open_.pop_back();
        return true;
    }

    bool key(string_t& name)
    {
        const auto& members = open_.back()->items;
        const auto same = [&name](const located_json& member) {
            return member.key == name;
        };
        if (std::any_of(members.begin(), members.end(), same))
        {
            return refuse(fmt::format("key '{}' stands twice", name));
        }
        key_ = std::move(name);
        key_line_ = *lines_;
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::json::exception& error)
    {
        // The library's own prefix names its internals, not the reader's file.
        const std::string text = error.what();
        const auto start = text.find("- ");
        return refuse(start == std::string::npos ? text
                                                 : text.substr(start + 2));
    }

    [[nodiscard]] located_json& root()
    {
        return root_;
    }

    [[nodiscard]] const std::string& mistake() const
    {
        return mistake_;
    }

private:
    bool refuse(std::string text)
    {
        if (mistake_.empty())
        {
            mistake_ = std::move(text);
        }
        return false;
    }

    located_json* add(located_json node)
    {
        if (++values_ > max_values)
        {
            refuse(fmt::format("more than {} values", max_values));
            return nullptr;
        }
        node.line = *lines_;
        if (open_.empty())
        {
            root_ = std::move(node);
            return &root_;
        }
        auto& parent = *open_.back();
        if (parent.kind == json_kind::object)
        {
            node.key = std::move(key_);
            node.line = key_line_;
        }
        return &parent.items.emplace_back(std::move(node));
    }

    bool open(json_kind kind)
    {
        if (open_.size() >= max_depth)
        {
            return refuse(fmt::format("more than {} levels", max_depth));
        }
        located_json node;
        node.kind = kind;
        auto* added = add(std::move(node));
        if (added == nullptr)
        {
            return false;
        }
        // Siblings are only added to the innermost open value, so pointers to
        // the outer ones stay good.
        open_.push_back(added);
        return true;
    }

    const std::size_t* lines_;
    located_json root_;
    std::vector<located_json*> open_;
    std::string key_;
    std::size_t key_line_ = 1;
    std::size_t values_ = 0;
    std::string mistake_;
};

} // namespace

std::string shown(const located_json& value)
{
    switch (value.kind)
    {
    case json_kind::null:
        return "null";
    case json_kind::boolean:
        return value.truth ? "true" : "false";
    case json_kind::integer:
        return fmt::format("{}", value.whole);
    case json_kind::real:
        return fmt::format("{}", value.number);
    case json_kind::array:
        return fmt::format("a list of {}", value.items.size());
    case json_kind::object:
        return fmt::format("an object of {} keys", value.items.size());
    case json_kind::text:
        break;
    }
    if (value.text.size() <= max_shown_bytes)
    {
        return '"' + value.text + '"';
    }
    return '"' + value.text.substr(0, max_shown_bytes) + "...\"";
}

transport::result<located_json> parse_located_json(std::string_view text,
                                                   std::string_view name)
{
    std::size_t lines = 1;
    tree_builder builder(&lines);
    const counting_iterator first(text.data(), &lines);
    const counting_iterator last(text.data() + text.size(), &lines);
    const bool whole = nlohmann::json::sax_parse(
        first, last, &builder, nlohmann::json::input_format_t::json, true,
        true);
    if (!whole)
    {
        return transport::fail(
            transport::reason::bad_settings,
            fmt::format("{}:{}: {}", name, lines, builder.mistake()));
    }
    return std::move(builder.root());
}

} // namespace hyssopdeal::protocol
