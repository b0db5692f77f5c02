#include "ctl/verbs/job_submit.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "codec/detail/enum_names.h"
#include "codec/detail/model_json.h"
#include "ctl/json_table.h"

namespace clementineloom::ctl {
namespace {

std::string StringOption(const Invocation& invocation, const std::string& name) {
  return invocation.options[name].as<std::string>();
}

template <class E>
Result<E> ReadEnum(const Invocation& invocation, const std::string& name) {
  const std::string text = StringOption(invocation, name);
  const auto refusal = RefusalOf([&] { return codec::detail::ParseEnum<E>(text); });
  if (refusal) {
    return Refuse(ResultCode::kUsage, "--" + name + ": " + text + " is not known");
  }
  return codec::detail::ParseEnum<E>(text);
}

Result<GangShape> ReadShape(const Invocation& invocation) {
  BOOST_LEAF_AUTO(adjacency, ReadEnum<Adjacency>(invocation, "adjacency"));
  return GangShape::Create(
      {.accelerators_per_worker = invocation.options["accelerators"].as<std::uint16_t>(),
       .workers = invocation.options["workers"].as<std::uint16_t>(),
       .adjacency = adjacency});
}

Result<JobSpec> ReadSpec(const Invocation& invocation) {
  BOOST_LEAF_AUTO(shape, ReadShape(invocation));
  BOOST_LEAF_AUTO(priority, ReadEnum<JobPriority>(invocation, "priority"));
  const Duration run_time(invocation.options["run-time-ms"].as<std::uint32_t>());
  return JobSpec::Create({.team = StringOption(invocation, "team"),
                          .job_class = StringOption(invocation, "class"),
                          .shape = shape,
                          .priority = priority,
                          .declared_run_time = run_time,
                          .command = StringOption(invocation, "command")});
}

Result<Report> Run(const Invocation& invocation) {
  BOOST_LEAF_AUTO(spec, ReadSpec(invocation));
  const boost::json::object params{{"key", invocation.arguments.front()},
                                   {"spec", codec::detail::ToJson(spec)}};
  BOOST_LEAF_AUTO(answer, invocation.scheduler.Call("job.submit", params));
  Report report;
  report.note = "Job " + CellOf(answer, "job") + " is submitted.";
  report.data = std::move(answer);
  return report;
}

void AddOptions(cxxopts::Options& options) {
  options.add_options()("team", "team that the job belongs to",
                        cxxopts::value<std::string>()->default_value(""))(
      "class", "groups jobs whose run times are alike",
      cxxopts::value<std::string>()->default_value("default"))(
      "accelerators", "accelerators on each worker",
      cxxopts::value<std::uint16_t>()->default_value("1"))(
      "workers", "workers of the gang", cxxopts::value<std::uint16_t>()->default_value("1"))(
      "adjacency", "worker, rack or data_centre",
      cxxopts::value<std::string>()->default_value("worker"))(
      "priority", "low, normal or urgent", cxxopts::value<std::string>()->default_value("normal"))(
      "run-time-ms", "expected run time", cxxopts::value<std::uint32_t>()->default_value("0"))(
      "command", "handed to the workers", cxxopts::value<std::string>()->default_value(""));
}

}  // namespace

Verb JobSubmitVerb() {
  return {.name = "job submit",
          .arguments = "KEY",
          .summary = "Submits a job under an idempotency key; a repeated key finds the first job",
          .examples =
              "  loomctl job submit audit-2026-07 --team seasonal-audit --class audit \\\n"
              "    --accelerators 8 --workers 3 --adjacency rack --command 'audit 2026-07'\n"
              "  loomctl job submit beach-17 --team lifebuoy-records --priority urgent\n",
          .min_arguments = 1,
          .max_arguments = 1,
          .add_options = AddOptions,
          .run = Run};
}

}  // namespace clementineloom::ctl
