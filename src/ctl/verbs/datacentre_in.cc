#include "ctl/verbs/datacentre_in.h"

#include "ctl/author.h"
#include "ctl/data_centre_plan.h"

namespace clementineloom::ctl {
namespace {

Result<Report> Run(const Invocation& invocation) { return DataCentrePlan(invocation, true); }

}  // namespace

Verb DatacentreInVerb() {
  return {.name = "datacentre in",
          .arguments = "NAME",
          .summary = "Plans to return a data centre to service",
          .examples =
              "  loomctl datacentre in kolka\n"
              "  loomctl confirm 4f1c\n",
          .min_arguments = 1,
          .max_arguments = 1,
          .add_options = AddAuthorOption,
          .run = Run};
}

}  // namespace clementineloom::ctl
