#include "logging/format_event.h"

#include "logging/format_value.h"

namespace clementineloom::logging {

std::string FormatEvent(std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = "event=";
  line += event;
  for (const LogField& it : fields) {
    line += ' ';
    line += it.key();
    line += '=';
    AppendValue(line, it.value());
  }
  return line;
}

}  // namespace clementineloom::logging
