#include "ctl/verb_list.h"

#include <algorithm>
#include <array>

#include "ctl/verbs/config_check.h"
#include "ctl/verbs/config_publish.h"
#include "ctl/verbs/config_show.h"
#include "ctl/verbs/confirm.h"
#include "ctl/verbs/datacentre_in.h"
#include "ctl/verbs/datacentre_out.h"
#include "ctl/verbs/explain.h"
#include "ctl/verbs/interference.h"
#include "ctl/verbs/job_cancel.h"
#include "ctl/verbs/job_list.h"
#include "ctl/verbs/job_show.h"
#include "ctl/verbs/job_submit.h"
#include "ctl/verbs/plan.h"
#include "ctl/verbs/status.h"
#include "ctl/verbs/team_list.h"
#include "ctl/verbs/trace.h"
#include "ctl/verbs/workers.h"

namespace clementineloom::ctl {

std::span<const Verb> Verbs() {
  static const std::array verbs{ConfigCheckVerb(),  ConfigPublishVerb(), ConfigShowVerb(),
                                PlanVerb(),         ConfirmVerb(),       DatacentreOutVerb(),
                                DatacentreInVerb(), TeamListVerb(),      JobSubmitVerb(),
                                JobListVerb(),      JobShowVerb(),       JobCancelVerb(),
                                ExplainVerb(),      WorkersVerb(),       InterferenceVerb(),
                                StatusVerb(),       TraceVerb()};
  return verbs;
}

const Verb* FindVerb(const std::vector<std::string>& words) {
  if (words.empty()) {
    return nullptr;
  }
  const std::string two_words = words.size() > 1 ? words[0] + " " + words[1] : words[0];
  const auto it = std::ranges::find_if(
      Verbs(), [&](const Verb& verb) { return verb.name == words[0] || verb.name == two_words; });
  return it == Verbs().end() ? nullptr : &*it;
}

std::size_t WordCount(const Verb& verb) {
  return verb.name.find(' ') == std::string_view::npos ? 1 : 2;
}

}  // namespace clementineloom::ctl
