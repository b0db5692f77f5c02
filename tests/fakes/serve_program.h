#pragma once

#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "clementineloom/errors/result.h"
#include "clementineloom/errors/result_code_table.h"
#include "process/stop_signals.h"

namespace clementineloom::fakes {

inline constexpr int kExitUsage = 2;
inline constexpr int kExitFailed = 1;

/// @brief Starts a server, prints its port and waits for SIGTERM. @return the exit status
/// @param start callable without parameters that returns Result of a pointer to the server
template <class Start>
[[nodiscard]] int RunServer(Start start) {
  return CatchRefusal(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(server, start());
        std::printf("listening 127.0.0.1:%u\n", unsigned{server->port()});
        std::fflush(stdout);
        (void)process::WaitForStopSignal();
        return 0;
      },
      [](const Refusal& refusal) {
        std::fprintf(stderr, "%s: %s\n", std::string(ResultCodeName(refusal.code)).c_str(),
                     refusal.detail.c_str());
        return kExitFailed;
      });
}

/// @brief Implements the main function of a stand-in.
/// @param options of the command line; --listen and --help are added
/// @param start callable with const cxxopts::ParseResult& that returns Result of a pointer
template <class Start>
[[nodiscard]] int ServeProgram(int argc, char** argv, cxxopts::Options options, Start start) {
  options.add_options()("listen", "IP:PORT; port 0 lets the kernel choose",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "help", "print this help");
  process::BlockStopSignals();
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return RunServer([&] { return start(parsed); });
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << "\n";
    return kExitUsage;
  }
}

}  // namespace clementineloom::fakes
