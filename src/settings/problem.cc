#include "settings/problem.h"

#include "clementineloom/errors/result_code_table.h"

namespace clementineloom::settings {

std::string ToText(const Problem& problem) {
  const std::string location = problem.file + ":" + std::to_string(problem.line) + ": ";
  const std::string code = std::to_string(static_cast<unsigned>(problem.code)) + " " +
                           std::string(ResultCodeName(problem.code)) + " ";
  const std::string field = problem.field.empty() ? "" : problem.field + ": ";
  return location + code + field + problem.message;
}

}  // namespace clementineloom::settings
