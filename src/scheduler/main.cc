#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "clementineloom/errors/result_code_table.h"
#include "logging/event_log.h"
#include "process/limit_memory_arenas.h"
#include "process/stop_signals.h"
#include "scheduler/scheduler.h"
#include "settings/load_settings.h"

namespace {

using clementineloom::CatchRefusal;
using clementineloom::Refusal;
using clementineloom::Result;
using clementineloom::ResultCodeName;
using clementineloom::logging::LogEvent;
using clementineloom::logging::LogLevel;
using clementineloom::scheduler::Scheduler;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

int Serve(const std::string& file) {
  return CatchRefusal(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(settings, clementineloom::settings::LoadSchedulerSettings(file));
        BOOST_LEAF_CHECK(clementineloom::logging::ConfigureLog(settings.common.log_level,
                                                               settings.common.log_file));
        BOOST_LEAF_AUTO(scheduler, Scheduler::Start(settings));
        LogEvent(LogLevel::kInfo, "started",
                 {{"instance", settings.common.instance},
                  {"rpc_port", scheduler->rpc_port()},
                  {"admin_port", scheduler->admin_port()}});
        const int signal = clementineloom::process::WaitForStopSignal();
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
  clementineloom::process::LimitMemoryArenas();
  clementineloom::process::BlockStopSignals();
  try {
    cxxopts::Options options("loom-scheduler", "Schedules jobs from the control stream");
    options.add_options()("settings", "file of settings (JSON with comments)",
                          cxxopts::value<std::string>())("help", "print this help");
    options.parse_positional({"settings"});
    options.positional_help("SETTINGS");
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return Serve(parsed["settings"].as<std::string>());
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << "\n";
    return kExitUsage;
  }
}
