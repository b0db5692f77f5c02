#include <cstdint>
#include <string>

#include "fakes/fake_worker_server.h"
#include "fakes/serve_program.h"

int main(int argc, char** argv) {
  using clementineloom::fakes::FakeWorkerOptions;
  using clementineloom::fakes::FakeWorkerServer;
  cxxopts::Options options("fake-worker", "Stand-in for a worker of the platform");
  options.add_options()("name", "name that it reports",
                        cxxopts::value<std::string>()->default_value("worker"))(
      "accelerators", "number of accelerators",
      cxxopts::value<std::uint16_t>()->default_value("8"));
  return clementineloom::fakes::ServeProgram(argc, argv, options, [](const auto& parsed) {
    FakeWorkerOptions worker;
    worker.listen = parsed["listen"].template as<std::string>();
    worker.name = parsed["name"].template as<std::string>();
    worker.accelerators = parsed["accelerators"].template as<std::uint16_t>();
    return FakeWorkerServer::Start(worker);
  });
}
