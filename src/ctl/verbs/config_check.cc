#include "ctl/verbs/config_check.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/errors/result_code_table.h"
#include "settings/document.h"
#include "settings/load_settings.h"

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;
using settings::Problem;

// Detects the kind of a file by keys that only this kind has; gateway settings by default.
std::string KindOf(const std::string& file) {
  const auto document = settings::ReadDocument(file).value;
  const json::object& root = document.root.get_object();
  if (root.contains("data_centres") || root.contains("teams")) {
    return "cluster";
  }
  return root.contains("rpc") ? "scheduler" : "gateway";
}

Result<std::vector<Problem>> Check(const std::string& file, const std::string& kind) {
  if (kind == "cluster") {
    return settings::CheckClusterDocument(file).problems;
  }
  if (kind == "gateway") {
    return settings::CheckGatewaySettings(file).problems;
  }
  if (kind == "scheduler") {
    return settings::CheckSchedulerSettings(file).problems;
  }
  return Refuse(ResultCode::kUsage, "--kind: cluster, gateway or scheduler expected");
}

json::object ToJson(const Problem& problem) {
  return {{"code", static_cast<unsigned>(problem.code)},
          {"name", ResultCodeName(problem.code)},
          {"file", problem.file},
          {"line", problem.line},
          {"field", problem.field},
          {"message", problem.message}};
}

Result<Report> Run(const Invocation& invocation) {
  Report report;
  json::array all;
  for (const std::string& file : invocation.arguments) {
    const bool has_kind = invocation.options.count("kind") > 0;
    const std::string kind = has_kind ? invocation.options["kind"].as<std::string>() : KindOf(file);
    BOOST_LEAF_AUTO(problems, Check(file, kind));
    for (const Problem& it : problems) {
      report.note += ToText(it) + "\n";
      all.push_back(ToJson(it));
    }
  }
  report.note += std::to_string(all.size()) + " problems";
  report.exit_code = all.empty() ? ExitCode::kOk : ExitCode::kInvalidInput;
  report.data = json::object{{"problems", std::move(all)}};
  return report;
}

void AddOptions(cxxopts::Options& options) {
  options.add_options()("kind", "cluster, gateway or scheduler; found by its keys by default",
                        cxxopts::value<std::string>());
}

}  // namespace

Verb ConfigCheckVerb() {
  return {.name = "config check",
          .arguments = "FILE...",
          .summary = "Checks settings and cluster documents and lists every mistake",
          .examples =
              "  loomctl config check examples/cooperative/cluster.json\n"
              "  loomctl config check --kind gateway /etc/loom/gateway.json --json\n",
          .min_arguments = 1,
          .max_arguments = 1'000,
          .add_options = AddOptions,
          .run = Run};
}

}  // namespace clementineloom::ctl
