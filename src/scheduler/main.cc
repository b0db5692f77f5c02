#include <exception>
#include <iostream>
#include <string>

#include "logging/event_log.h"
#include "process/command_line.h"
#include "process/ignore_broken_pipes.h"
#include "process/limit_memory_arenas.h"
#include "process/stop_signals.h"
#include "scheduler/scheduler.h"
#include "settings/load_settings.h"

namespace {

using clementineloom::CatchRefusal;
using clementineloom::Result;
using clementineloom::logging::LogEvent;
using clementineloom::logging::LogLevel;
using clementineloom::scheduler::Scheduler;

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
      clementineloom::process::ReportRefusal);
}

}  // namespace

int main(int argc, char** argv) {
  clementineloom::process::LimitMemoryArenas();
  clementineloom::process::BlockStopSignals();
  clementineloom::process::IgnoreBrokenPipes();
  try {
    const auto file = clementineloom::process::SettingsFileOf(
        argc, argv, "loom-scheduler", "Schedules jobs from the control stream");
    return file ? Serve(*file) : 0;
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << "\n";
    return clementineloom::process::kExitUsage;
  }
}
