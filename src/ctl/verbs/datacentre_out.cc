#include "ctl/verbs/datacentre_out.h"

#include "ctl/author.h"
#include "ctl/data_centre_plan.h"

namespace clementineloom::ctl {
namespace {

Result<Report> Run(const Invocation& invocation) { return DataCentrePlan(invocation, false); }

}  // namespace

Verb DatacentreOutVerb() {
  return {.name = "datacentre out",
          .arguments = "NAME",
          .summary = "Plans to take a data centre out of service",
          .examples =
              "  loomctl datacentre out kolka\n"
              "  loomctl confirm 4f1c\n",
          .min_arguments = 1,
          .max_arguments = 1,
          .add_options = AddAuthorOption,
          .run = Run};
}

}  // namespace clementineloom::ctl
