#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "gateway/gateway_daemon.h"
#include "logging/event_log.h"
#include "process/command_line.h"
#include "process/ignore_broken_pipes.h"
#include "process/limit_memory_arenas.h"
#include "process/stop_signals.h"
#include "settings/load_settings.h"

namespace {

using clementineloom::CatchRefusal;
using clementineloom::Result;
using clementineloom::gateway::GatewayDaemon;
using clementineloom::logging::ConfigureLog;
using clementineloom::logging::LogEvent;
using clementineloom::logging::LogLevel;

Result<int> Serve(const std::string& file) {
  BOOST_LEAF_AUTO(settings, clementineloom::settings::LoadGatewaySettings(file));
  BOOST_LEAF_CHECK(ConfigureLog(settings.common.log_level, settings.common.log_file));
  BOOST_LEAF_AUTO(daemon, GatewayDaemon::Start(settings));
  std::cout << "listening port=" << daemon->port() << " admin=" << daemon->admin_port()
            << std::endl;
  LogEvent(LogLevel::kInfo, "started",
           {{"instance", settings.common.instance}, {"port", daemon->port()}});
  const int signal = clementineloom::process::WaitForStopSignal();
  LogEvent(LogLevel::kInfo, "draining", {{"signal", signal}});
  if (!daemon->Drain()) {
    LogEvent(LogLevel::kError, "drain_timed_out",
             {{"drain_timeout_ms", settings.common.drain_timeout_ms}});
  }
  LogEvent(LogLevel::kInfo, "stopped", {});
  return 0;
}

int Run(const std::string& file) {
  return CatchRefusal([&] { return Serve(file); }, clementineloom::process::ReportRefusal);
}

}  // namespace

int main(int argc, char** argv) {
  clementineloom::process::LimitMemoryArenas();
  clementineloom::process::BlockStopSignals();
  clementineloom::process::IgnoreBrokenPipes();
  cxxopts::Options options("loom-gateway", "Takes requests of callers to workers");
  options.add_options()("settings", "file with the settings", cxxopts::value<std::string>())(
      "help", "print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return Run(parsed["settings"].as<std::string>());
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << "\n";
    return clementineloom::process::kExitUsage;
  }
}
