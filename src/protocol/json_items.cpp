#include <hyssopdeal/protocol/json_items.hpp>

#include <algorithm>

namespace hyssopdeal::protocol
{

namespace
{

constexpr std::size_t object_depth = 1; ///< Inside the outermost object.
constexpr std::size_t array_depth = 2;  ///< Inside the array.

/// Position in a JSON text, outside of strings.
class scanner
{
public:
    scanner(std::string_view text, std::string_view name)
        : text_(text),
          name_(name)
    {}

    std::optional<json_items> split()
    {
        for (; at_ < text_.size(); ++at_)
        {
            const char character = text_[at_];
            if (character == '"')
            {
                skip_string();
            }
            else if (character == '[' || character == '{')
            {
                open(character);
            }
            else if (character == ']' || character == '}')
            {
                if (close())
                {
                    return std::move(found_);
                }
            }
            else if (character == ',' || character == ':')
            {
                separate(character);
            }
        }
        return std::nullopt;
    }

private:
    /// Moves to the string's closing quote.
    void skip_string()
    {
        const auto begin = ++at_;
        while (at_ < text_.size() && text_[at_] != '"')
        {
            at_ += text_[at_] == '\\' ? 2 : 1;
        }
        last_string_ = text_.substr(begin, std::min(at_, text_.size()) - begin);
    }

    void open(char bracket)
    {
        if (bracket == '[' && depth_ == object_depth && key_ == name_ &&
            !inside_)
        {
            inside_ = true;
            begin_ = at_ + 1;
            item_begin_ = begin_;
            item_depth_ = 0;
        }
        ++depth_;
        item_depth_ = std::max(item_depth_, depth_);
    }

    /// @return Whether this was the end of the array.
    bool close()
    {
        depth_ -= depth_ > 0 ? 1 : 0;
        if (!inside_ || depth_ != object_depth)
        {
            return false;
        }
        const auto content = text_.substr(begin_, at_ - begin_);
        if (content.find_first_not_of(" \t\r\n") != std::string_view::npos)
        {
            add_item();
        }
        found_.rest = text_.substr(0, begin_);
        found_.rest += text_.substr(at_);
        return true;
    }

    void separate(char character)
    {
        if (depth_ == object_depth)
        {
            key_ = character == ':' ? last_string_ : std::string_view{};
        }
        else if (inside_ && depth_ == array_depth && character == ',')
        {
            add_item();
            item_begin_ = at_ + 1;
            item_depth_ = 0;
        }
    }

    void add_item()
    {
        const auto item = text_.substr(item_begin_, at_ - item_begin_);
        const bool too_deep = item_depth_ > array_depth + max_item_depth;
        found_.items.push_back(too_deep ? std::string_view{} : item);
    }

    std::string_view text_;
    std::string_view name_;
    std::size_t at_ = 0;
    std::size_t depth_ = 0;
    std::string_view last_string_;
    std::string_view key_;
    bool inside_ = false; ///< In the array that is split.
    std::size_t begin_ = 0;
    std::size_t item_begin_ = 0;
    std::size_t item_depth_ = 0; ///< Deepest level in the item.
    json_items found_;
};

} // namespace

std::optional<json_items> split_json_items(std::string_view text,
                                           std::string_view name)
{
    return scanner{text, name}.split();
}

} // namespace hyssopdeal::protocol
