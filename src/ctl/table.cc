#include "ctl/table.h"

#include <algorithm>
#include <cstddef>

namespace clementineloom::ctl {
namespace {

constexpr std::size_t kColumnGap = 2;

void Widen(std::vector<std::size_t>& widths, const std::vector<std::string>& row) {
  for (std::size_t n = 0; n < widths.size(); ++n) {
    widths[n] = std::max(widths[n], row[n].size());
  }
}

// The last column is not padded, so that no line ends with spaces.
void AppendRow(std::string& text, const std::vector<std::size_t>& widths,
               const std::vector<std::string>& row) {
  for (std::size_t n = 0; n < row.size(); ++n) {
    text += row[n];
    if (n + 1 < row.size()) {
      text.append(widths[n] - row[n].size() + kColumnGap, ' ');
    }
  }
  text += '\n';
}

}  // namespace

std::string ToText(const Table& table) {
  std::vector<std::size_t> widths(table.header.size(), 0);
  Widen(widths, table.header);
  for (const auto& it : table.rows) {
    Widen(widths, it);
  }
  std::string text;
  AppendRow(text, widths, table.header);
  for (const auto& it : table.rows) {
    AppendRow(text, widths, it);
  }
  return text;
}

}  // namespace clementineloom::ctl
