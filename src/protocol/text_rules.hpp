#ifndef HYSSOPDEAL_SRC_PROTOCOL_TEXT_RULES_HPP
#define HYSSOPDEAL_SRC_PROTOCOL_TEXT_RULES_HPP

/// @file
/// Internal: what each text_rule allows.
///
/// Index: [text_rules]

#include <string_view>

#include <hyssopdeal/protocol/settings_reader.hpp>

namespace hyssopdeal::protocol
{

// [text_rules] ---------------------------------------------------------------

/// @return Whether a text is allowed by a rule.
[[nodiscard]] bool follows_rule(std::string_view text, text_rule rule);

/// @return What a rule allows, in words.
[[nodiscard]] std::string_view rule_text(text_rule rule) noexcept;

} // namespace hyssopdeal::protocol

#endif
