#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/duty_thread.h"
#include "net/http_server.h"
#include "support/value_or_die.h"

namespace clementineloom::testing_support {

/// @brief An HTTP server that gives each request the next answer that the test has queued.
///
/// Thread safety: one thread queues answers.
class AnsweringServer {
 public:
  AnsweringServer() = default;
  ~AnsweringServer() {
    requests_.Close();
    answers_.Close();
  }
  AnsweringServer(const AnsweringServer&) = delete;
  AnsweringServer& operator=(const AnsweringServer&) = delete;

  void QueueAnswer(net::HttpResponse answer) { (void)answers_.Push(std::move(answer)); }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(server_->port());
  }

 private:
  void AnswerRequests() {
    while (const auto request = requests_.Pop()) {
      if (auto answer = answers_.Pop()) {
        server_->Answer(request->id, std::move(*answer));
      }
    }
  }

  BoundedRing<net::ServerRequest> requests_{4};
  BoundedRing<net::HttpResponse> answers_{4};
  std::unique_ptr<net::HttpServer> server_ = ValueOrDie([this] {
    return net::HttpServer::Start("test-server", {}, [this](net::ServerRequest it) {
      return requests_.TryPush(std::move(it));
    });
  });
  // Last, so that the thread is joined before anything that it uses is destroyed.
  DutyThread thread_{"test-answers", [this] { AnswerRequests(); }};
};

}  // namespace clementineloom::testing_support
