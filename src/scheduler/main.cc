#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "clementineloom/errors/result_code_table.h"
#include "logging/event_log.h"
#include "scheduler/scheduler.h"
#include "scheduler/stop_signals.h"

namespace {

using clementineloom::CatchRefusal;
using clementineloom::Refusal;
using clementineloom::Result;
using clementineloom::ResultCodeName;
using clementineloom::logging::LogEvent;
using clementineloom::logging::LogLevel;
using clementineloom::scheduler::Scheduler;
using clementineloom::settings::SchedulerSettings;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("loom-scheduler", "Schedules jobs from the control stream");
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  options.add_options()("instance", "name of this instance", cxxopts::value<std::string>())(
      "region", "region of this instance", text("region-1"))(
      "data-centre", "data centre of this instance", text("dc-1"))("rpc", "IP:PORT of the JSON-RPC",
                                                                   text("127.0.0.1:0"))(
      "admin", "IP:PORT of /health and /metrics", text("127.0.0.1:0"))(
      "log-service", "IP:PORT of the log service, may be repeated",
      cxxopts::value<std::vector<std::string>>())("instance-list", "IP:PORT of the instance list",
                                                  text(""))("help", "print this help");
  return options;
}

SchedulerSettings SettingsOf(const cxxopts::ParseResult& parsed) {
  SchedulerSettings settings;
  settings.common.instance = parsed["instance"].as<std::string>();
  settings.common.region = parsed["region"].as<std::string>();
  settings.common.data_centre = parsed["data-centre"].as<std::string>();
  settings.common.admin = parsed["admin"].as<std::string>();
  settings.common.log_service = parsed["log-service"].as<std::vector<std::string>>();
  settings.common.instance_list = parsed["instance-list"].as<std::string>();
  settings.rpc = parsed["rpc"].as<std::string>();
  return settings;
}

int Serve(const SchedulerSettings& settings) {
  return CatchRefusal(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(clementineloom::logging::ConfigureLog(settings.common.log_level,
                                                               settings.common.log_file));
        BOOST_LEAF_AUTO(scheduler, Scheduler::Start(settings));
        LogEvent(LogLevel::kInfo, "started",
                 {{"instance", settings.common.instance},
                  {"rpc_port", scheduler->rpc_port()},
                  {"admin_port", scheduler->admin_port()}});
        const int signal = clementineloom::scheduler::WaitForStopSignal();
        LogEvent(LogLevel::kInfo, "draining", {{"signal", signal}});
        const std::chrono::milliseconds timeout(settings.common.drain_timeout_ms);
        if (!scheduler->Drain(timeout)) {
          LogEvent(LogLevel::kWarning, "drain_cut_off", {{"timeout_ms", timeout.count()}});
        }
        LogEvent(LogLevel::kInfo, "stopped", {});
        return 0;
      },
      [](const Refusal& refusal) {
        std::cerr << ResultCodeName(refusal.code) << ": " << refusal.detail << "\n";
        return kExitFailed;
      });
}

}  // namespace

int main(int argc, char** argv) {
  clementineloom::scheduler::BlockStopSignals();
  try {
    cxxopts::Options options = MakeOptions();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return Serve(SettingsOf(parsed));
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << "\n";
    return kExitUsage;
  }
}
