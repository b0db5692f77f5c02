#include <string>

#include "fakes/fake_instances_server.h"
#include "fakes/serve_program.h"

int main(int argc, char** argv) {
  using clementineloom::fakes::FakeInstancesServer;
  const cxxopts::Options options("fake-instances", "Stand-in for the platform's instance list");
  return clementineloom::fakes::ServeProgram(argc, argv, options, [](const auto& parsed) {
    return FakeInstancesServer::Start(parsed["listen"].template as<std::string>());
  });
}
