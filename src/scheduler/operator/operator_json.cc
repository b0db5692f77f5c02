#include "scheduler/operator/operator_json.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string_view>
#include <utility>

#include "codec/detail/config_edit_json.h"
#include "codec/detail/enum_names.h"
#include "codec/detail/model_json.h"
#include "scheduler/operator/plan_text.h"

namespace clementineloom::scheduler {
namespace {

namespace json = boost::json;
using codec::detail::JsonReader;
using codec::detail::NameOf;

Result<std::vector<ConfigEdit>> ReadEdits(const JsonReader& params) {
  BOOST_LEAF_AUTO(array, params.Array("edits"));
  std::vector<ConfigEdit> edits;
  for (const json::value& it : *array) {
    BOOST_LEAF_AUTO(edit, codec::detail::ReadConfigEdit(it));
    edits.push_back(std::move(edit));
  }
  if (edits.empty()) {
    return Refuse(ResultCode::kInvalidValue, "edits: none given");
  }
  return edits;
}

Result<OperatorRequest> ReadPlan(const JsonReader& params) {
  BOOST_LEAF_AUTO(edits, ReadEdits(params));
  BOOST_LEAF_AUTO(author, params.String("author"));
  return OperatorRequest(ConfigPlan{std::move(edits), std::move(author)});
}

Result<OperatorRequest> ReadConfirm(const JsonReader& params) {
  if (params.Has("plan_id")) {
    BOOST_LEAF_AUTO(plan_id, params.String("plan_id"));
    return OperatorRequest(PlanConfirmRequest{std::move(plan_id)});
  }
  BOOST_LEAF_AUTO(edits, ReadEdits(params));
  BOOST_LEAF_AUTO(base_revision, params.Number<std::uint64_t>("base_revision"));
  BOOST_LEAF_AUTO(author, params.String("author"));
  return OperatorRequest(
      ConfigConfirm{std::move(edits), ConfigRevision(base_revision), std::move(author)});
}

Result<OperatorRequest> ReadSubmit(const JsonReader& params) {
  BOOST_LEAF_AUTO(key, params.String("key"));
  BOOST_LEAF_AUTO(object, params.Object("spec"));
  BOOST_LEAF_AUTO(spec, codec::detail::ReadJobSpec(object));
  if (key.empty()) {
    return Refuse(ResultCode::kInvalidValue, "key");
  }
  return OperatorRequest(JobSubmit{std::move(key), std::move(spec)});
}

Result<OperatorRequest> ReadCancel(const JsonReader& params) {
  BOOST_LEAF_AUTO(array, params.Array("jobs"));
  JobCancel request;
  for (const json::value& it : *array) {
    boost::system::error_code ec;
    request.jobs.emplace_back(it.to_number<std::uint64_t>(ec));
    if (ec) {
      return Refuse(ResultCode::kWrongType, "jobs");
    }
  }
  return OperatorRequest(std::move(request));
}

template <class Request>
Result<OperatorRequest> ReadJob(const JsonReader& params) {
  BOOST_LEAF_AUTO(job, params.Number<std::uint64_t>("job"));
  return OperatorRequest(Request{JobId(job)});
}

template <class Request>
Result<OperatorRequest> ReadNothing(const JsonReader&) {
  return OperatorRequest(Request{});
}

struct Method {
  std::string_view name;
  Result<OperatorRequest> (*read)(const JsonReader&);
};

constexpr std::array kMethods{
    Method{"config.get", ReadNothing<ConfigGet>},
    Method{"config.plan", ReadPlan},
    Method{"config.confirm", ReadConfirm},
    Method{"job.submit", ReadSubmit},
    Method{"job.get", ReadJob<JobGet>},
    Method{"job.list", ReadNothing<JobList>},
    Method{"job.cancel", ReadCancel},
    Method{"job.explain", ReadJob<JobExplain>},
    Method{"worker.list", ReadNothing<WorkerList>},
    Method{"status.get", ReadNothing<StatusGet>},
    Method{"peer.view", ReadNothing<PeerView>},
};

json::array ToJson(const std::vector<JobId>& jobs) {
  json::array array;
  for (const JobId it : jobs) {
    array.push_back(it.value());
  }
  return array;
}

json::object ToJson(const ConfigView& view) {
  json::array data_centres;
  for (const DataCentre& it : view.data_centres) {
    data_centres.push_back(codec::detail::ToJson(it));
  }
  json::array teams;
  for (const Team& it : view.teams) {
    teams.push_back(codec::detail::ToJson(it));
  }
  return {{"revision", view.revision.value()},
          {"data_centres", std::move(data_centres)},
          {"teams", std::move(teams)}};
}

json::object ToJson(const ConfirmedRevision& answer) {
  return {{"revision", answer.revision.value()}};
}

json::object ToJson(const SubmittedJob& answer) { return {{"job", answer.job.value()}}; }

json::object ToJson(const CancelledJobs& answer) {
  return {{"cancelled", ToJson(answer.cancelled)}, {"not_cancelled", ToJson(answer.not_cancelled)}};
}

json::object ToJson(const JobView& view) {
  json::array workers(view.workers.begin(), view.workers.end());
  return {{"job", view.job.value()},
          {"key", view.key},
          {"spec", codec::detail::ToJson(view.spec)},
          {"submitted_at_ms", view.submitted_at.time_since_epoch().count()},
          {"phase", NameOf(view.phase)},
          {"outcome", NameOf(view.outcome)},
          {"stop_reason", NameOf(view.stop_reason)},
          {"kind", NameOf(view.kind)},
          {"attempt", view.attempt},
          {"failures", view.failures},
          {"workers", std::move(workers)}};
}

json::object ToJson(const WorkerView& view) {
  return {{"name", view.name},
          {"address", view.address},
          {"data_centre", view.data_centre},
          {"rack", view.rack},
          {"accelerators", view.accelerators},
          {"free_accelerators", view.free_accelerators},
          {"condition", NameOf(view.condition)},
          {"jobs", view.jobs}};
}

json::object ToJson(const Explanation& answer) { return {{"text", answer.text}}; }

json::value AgeToJson(const FreshnessView& view) {
  return view.age ? json::value(view.age->count()) : json::value(nullptr);
}

json::object ToJson(const FreshnessView& view) {
  return {{"applied_offset", view.applied_offset.value()},
          {"tail", view.tail.value()},
          {"age_ms", AgeToJson(view)}};
}

json::object ToJson(const StatusView& view) {
  json::array peers;
  for (const SchedulerPeer& it : view.peers) {
    peers.push_back(json::object{{"instance", it.instance}, {"rpc", it.rpc}});
  }
  return {{"instance", view.instance},
          {"applied_offset", view.freshness.applied_offset.value()},
          {"tail", view.freshness.tail.value()},
          {"config_revision", view.config_revision.value()},
          {"view_age_ms", AgeToJson(view.freshness)},
          {"serving", view.is_serving},
          {"outdated", view.is_outdated},
          {"draining", view.is_draining},
          {"waiting_jobs", view.waiting_jobs},
          {"active_jobs", view.active_jobs},
          {"workers", view.workers},
          {"peers", std::move(peers)}};
}

json::object ToJson(const PlanStep& step) {
  json::object object{{"job", step.job.value()},
                      {"team", step.team},
                      {"workers", json::array(step.workers.begin(), step.workers.end())},
                      {"kind", NameOf(step.kind)},
                      {"reason", step.reason}};
  if (step.expected_completion) {
    object.emplace("expected_completion_ms", step.expected_completion->time_since_epoch().count());
  }
  return object;
}

json::array StepsOf(const Plan& plan, PlanAction action) {
  json::array array;
  for (const PlanStep& it : plan.steps()) {
    if (it.action == action) {
      array.push_back(ToJson(it));
    }
  }
  return array;
}

json::object ToJson(const GuaranteeRisk& risk) {
  return {{"team", risk.team},
          {"guarantee_index", risk.guarantee_index},
          {"shape", codec::detail::ToJson(risk.shape)},
          {"shapes", risk.shapes}};
}

json::object ToJson(const PlanView& view) {
  json::array risks;
  for (const GuaranteeRisk& it : view.plan.risks()) {
    risks.push_back(ToJson(it));
  }
  return {{"plan_id", view.plan_id},
          {"base_revision", view.plan.base_revision().value()},
          {"starts", StepsOf(view.plan, PlanAction::kStart)},
          {"moves", StepsOf(view.plan, PlanAction::kMove)},
          {"waits", StepsOf(view.plan, PlanAction::kWait)},
          {"refused", StepsOf(view.plan, PlanAction::kRefuse)},
          {"risks", std::move(risks)},
          {"complete", view.plan.is_complete()},
          {"text", PlanText(view.plan)}};
}

template <class View>
json::array ToJson(const std::vector<View>& views) {
  json::array array;
  array.reserve(views.size());
  for (const View& it : views) {
    array.push_back(ToJson(it));
  }
  return array;
}

struct AnswerWriter {
  Result<json::value> operator()(const Refusal& refusal) const {
    return Refuse(refusal.code, refusal.detail, refusal.run_state);
  }
  Result<json::value> operator()(const std::vector<JobView>& views) const {
    return json::value(json::object{{"jobs", ToJson(views)}});
  }
  Result<json::value> operator()(const std::vector<WorkerView>& views) const {
    return json::value(json::object{{"workers", ToJson(views)}});
  }
  template <class View>
  Result<json::value> operator()(const View& view) const {
    return json::value(ToJson(view));
  }
};

}  // namespace

Result<OperatorRequest> ReadOperatorRequest(const rpc::RpcCall& call) {
  for (const Method& it : kMethods) {
    if (it.name == call.method) {
      return it.read(JsonReader(call.params));
    }
  }
  return Refuse(ResultCode::kMalformedRequest, "unknown method " + call.method);
}

Result<json::value> WriteOperatorAnswer(const OperatorAnswer& answer) {
  return std::visit(AnswerWriter{}, answer);
}

}  // namespace clementineloom::scheduler
