#include "ctl/table_format.h"

#include "clementineloom/errors/result_code_table.h"
#include "clementineloom/errors/run_state_name.h"

namespace clementineloom::ctl {

void TableFormat::Write(std::ostream& out, const Report& report) const {
  const char* gap = "";
  for (const Table& it : report.tables) {
    out << gap << ToText(it);
    gap = "\n";
  }
  if (!report.note.empty()) {
    out << gap << report.note << "\n";
  }
}

void TableFormat::Write(std::ostream& out, const Refusal& refusal) const {
  out << "loomctl: " << static_cast<unsigned>(refusal.code) << " " << ResultCodeName(refusal.code)
      << " (" << RunStateName(refusal.run_state) << "): " << refusal.detail << "\n";
}

}  // namespace clementineloom::ctl
