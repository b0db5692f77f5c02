#include "settings/key_spec.h"

namespace clementineloom::settings {

std::string MarkdownRow(const KeySpec& spec) {
  const std::string fallback = spec.is_required ? "required" : "`" + spec.fallback + "`";
  const bool has_range = spec.kind == ValueKind::kNumber || spec.kind == ValueKind::kDecimal;
  const std::string range =
      has_range ? std::to_string(spec.min) + " to " + std::to_string(spec.max) : "";
  return "| `" + std::string(spec.key) + "` | " + std::string(ValueKindName(spec.kind)) + " | " +
         std::string(spec.unit) + " | " + fallback + " | " + range + " | " +
         std::string(spec.meaning) + " |";
}

}  // namespace clementineloom::settings
