#include "ctl/verbs/status.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <utility>

#include "codec/detail/json_reader.h"
#include "ctl/json_table.h"

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;
using codec::detail::JsonReader;

constexpr std::array kColumns{
    Column{"INSTANCE", "instance"},     Column{"REVISION", "config_revision"},
    Column{"OFFSET", "applied_offset"}, Column{"VIEW AGE MS", "view_age_ms"},
    Column{"SERVING", "serving"},       Column{"WAITING", "waiting_jobs"},
    Column{"ACTIVE", "active_jobs"},    Column{"PROBLEM", "problem"}};

// A peer that does not answer gets a row with its problem and does not fail the command, so that
// the other instances are still shown.
json::object StatusOfPeer(const std::string& instance, const std::string& rpc,
                          std::chrono::milliseconds timeout) {
  return CatchRefusal(
      [&]() -> Result<json::object> {
        SchedulerConnection peer(rpc, timeout);
        BOOST_LEAF_AUTO(status, peer.Call("status.get", {}));
        status.erase("peers");
        return status;
      },
      [&](const Refusal& refusal) {
        return json::object{{"instance", instance}, {"problem", refusal.detail}};
      });
}

Result<Report> Run(const Invocation& invocation) {
  BOOST_LEAF_AUTO(status, invocation.scheduler.Call("status.get", {}));
  BOOST_LEAF_AUTO(peers, JsonReader(status).Array("peers"));
  json::array instances;
  json::object own = status;
  own.erase("peers");
  instances.push_back(std::move(own));
  for (const json::value& it : *peers) {
    BOOST_LEAF_AUTO(peer, JsonReader::Of(it));
    BOOST_LEAF_AUTO(instance, peer.String("instance"));
    BOOST_LEAF_AUTO(rpc, peer.String("rpc"));
    if (instance != CellOf(status, "instance")) {
      instances.push_back(StatusOfPeer(instance, rpc, invocation.scheduler.timeout()));
    }
  }
  Report report;
  report.tables.push_back(TableOf(instances, kColumns));
  report.data = json::object{{"instances", std::move(instances)}};
  return report;
}

}  // namespace

Verb StatusVerb() {
  return {.name = "status",
          .arguments = "",
          .summary = "Shows which instances have which revision and how old their view is",
          .examples = "  loomctl status\n  loomctl status --scheduler 10.20.1.10:9100 --json\n",
          .run = Run};
}

}  // namespace clementineloom::ctl
