#include "ctl/text_diff.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace hyssopdeal::ctl
{

namespace
{

constexpr std::size_t context_lines = 2;
constexpr std::size_t max_compared_pairs = 25'000'000;

struct diff_line
{
    char mark = ' ';
    std::string_view text;
};

std::vector<std::string_view> lines_of(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty())
    {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

// Lengths of the longest common subsequences of all pairs of line ends.
class common_lengths
{
public:
    common_lengths(const std::vector<std::string_view>& from,
                   const std::vector<std::string_view>& to)
        : width_(to.size() + 1),
          lengths_((from.size() + 1) * width_)
    {
        for (std::size_t a = from.size(); a-- > 0;)
        {
            for (std::size_t b = to.size(); b-- > 0;)
            {
                lengths_[a * width_ + b] =
                    from[a] == to[b] ? at(a + 1, b + 1) + 1
                                     : std::max(at(a + 1, b), at(a, b + 1));
            }
        }
    }

    [[nodiscard]] std::uint32_t at(std::size_t a, std::size_t b) const
    {
        return lengths_[a * width_ + b];
    }

private:
    std::size_t width_;
    std::vector<std::uint32_t> lengths_;
};

// Takes equal lines off the front of both texts.
void take_equal_front(std::vector<std::string_view>& from,
                      std::vector<std::string_view>& to,
                      std::vector<diff_line>& lines)
{
    const auto [a, b] =
        std::mismatch(from.begin(), from.end(), to.begin(), to.end());
    for (auto line = from.begin(); line != a; ++line)
    {
        lines.push_back({' ', *line});
    }
    from.erase(from.begin(), a);
    to.erase(to.begin(), b);
}

// Takes equal lines off the back of both texts.
std::vector<diff_line> take_equal_back(std::vector<std::string_view>& from,
                                       std::vector<std::string_view>& to)
{
    std::vector<diff_line> lines;
    while (!from.empty() && !to.empty() && from.back() == to.back())
    {
        lines.push_back({' ', from.back()});
        from.pop_back();
        to.pop_back();
    }
    std::reverse(lines.begin(), lines.end());
    return lines;
}

void compare_middle(const std::vector<std::string_view>& from,
                    const std::vector<std::string_view>& to,
                    std::vector<diff_line>& lines)
{
    const common_lengths lengths(from, to);
    std::size_t a = 0;
    std::size_t b = 0;
    while (a < from.size() || b < to.size())
    {
        if (a < from.size() && b < to.size() && from[a] == to[b])
        {
            lines.push_back({' ', from[a++]});
            ++b;
        }
        else if (b == to.size() ||
                 (a < from.size() &&
                  lengths.at(a + 1, b) >= lengths.at(a, b + 1)))
        {
            lines.push_back({'-', from[a++]});
        }
        else
        {
            lines.push_back({'+', to[b++]});
        }
    }
}

// Without a common order: too many lines to look for one.
void replace_middle(const std::vector<std::string_view>& from,
                    const std::vector<std::string_view>& to,
                    std::vector<diff_line>& lines)
{
    for (const auto line : from)
    {
        lines.push_back({'-', line});
    }
    for (const auto line : to)
    {
        lines.push_back({'+', line});
    }
}

std::vector<diff_line> compare(std::vector<std::string_view> from,
                               std::vector<std::string_view> to)
{
    std::vector<diff_line> lines;
    take_equal_front(from, to, lines);
    const auto back = take_equal_back(from, to);
    if (from.size() * to.size() <= max_compared_pairs)
    {
        compare_middle(from, to, lines);
    }
    else
    {
        replace_middle(from, to, lines);
    }
    lines.insert(lines.end(), back.begin(), back.end());
    return lines;
}

bool near_change(const std::vector<diff_line>& lines, std::size_t at)
{
    const auto first = at - std::min(at, context_lines);
    const auto last = std::min(lines.size(), at + context_lines + 1);
    return std::any_of(lines.begin() + static_cast<std::ptrdiff_t>(first),
                       lines.begin() + static_cast<std::ptrdiff_t>(last),
                       [](const diff_line& line) { return line.mark != ' '; });
}

} // namespace

std::string text_diff(std::string_view from, std::string_view to)
{
    const auto lines = compare(lines_of(from), lines_of(to));
    std::string text;
    for (std::size_t at = 0; at < lines.size(); ++at)
    {
        if (near_change(lines, at))
        {
            text += lines[at].mark;
            text += ' ';
            text += lines[at].text;
            text += '\n';
        }
    }
    return text;
}

} // namespace hyssopdeal::ctl
