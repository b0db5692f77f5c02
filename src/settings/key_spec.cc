#include "settings/key_spec.h"

namespace clementineloom::settings {

std::string MarkdownRow(const KeySpec& spec) {
  const std::string fallback = spec.is_required ? "required" : "`" + spec.fallback + "`";
  const std::string range = spec.kind == ValueKind::kNumber
                                ? std::to_string(spec.min) + " to " + std::to_string(spec.max)
                                : "";
  return "| `" + std::string(spec.key) + "` | " + std::string(ValueKindName(spec.kind)) + " | " +
         std::string(spec.unit) + " | " + fallback + " | " + range + " | " +
         std::string(spec.meaning) + " |";
}

}  // namespace clementineloom::settings
