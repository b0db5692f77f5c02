#include <string>

#include "fakes/fake_log_server.h"
#include "fakes/serve_program.h"

int main(int argc, char** argv) {
  using clementineloom::fakes::FakeLogServer;
  const cxxopts::Options options("fake-log", "Stand-in for the platform's log service");
  return clementineloom::fakes::ServeProgram(argc, argv, options, [](const auto& parsed) {
    return FakeLogServer::Start(parsed["listen"].template as<std::string>());
  });
}
