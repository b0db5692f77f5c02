#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "net/http_server.h"
#include "support/raw_caller.h"
#include "support/value_or_die.h"

namespace clementineloom {
namespace {

using testing_support::RawCaller;
using testing_support::ValueOrDie;

// Synchronises the test with a handler that blocks until the test resumes it.
struct Stall {
  std::promise<void> begun;
  std::promise<void> resume;
};

// A server whose I/O thread is blocked by two requests, one after the other, and callers with open
// connections.
class ServerDrainTest : public testing::Test {
 protected:
  // More than one poll of the I/O thread returns.
  static constexpr std::size_t kCallers = 200;
  static constexpr std::size_t kStalls = 2;
  static constexpr std::chrono::milliseconds kGrace{50};
  static constexpr const char* kBody = "served";

  ServerDrainTest() {
    net::HttpServerOptions options;
    options.drain_grace = kGrace;
    server_ = ValueOrDie([&] {
      return net::HttpServer::Start("callers", options, [this](const net::ServerRequest& request) {
        if (request.request.target == "/stall") {
          Stall& stall = stalls_.at(stall_count_++);
          stall.begun.set_value();
          stall.resume.get_future().wait();
        }
        server_->Answer(request.id, {200, {}, kBody});
        return true;
      });
    });
    for (std::size_t n = 0; n < kCallers + kStalls; ++n) {
      callers_.emplace_back(server_->port());
      // The response shows that the server has accepted the connection.
      Send(callers_.back(), "/");
      EXPECT_TRUE(IsAnswer(callers_.back().ReadUntil(kBody)));
    }
  }

  static void Send(RawCaller& caller, const std::string& target) {
    caller.Send("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  static bool IsAnswer(const std::string& text) {
    return text.starts_with("HTTP/1.1 200") && text.ends_with(kBody);
  }
  void WaitForStall(std::size_t n) { stalls_.at(n).begun.get_future().wait(); }
  void ResumeStall(std::size_t n) { stalls_.at(n).resume.set_value(); }

  std::array<Stall, kStalls> stalls_;
  std::size_t stall_count_ = 0;
  std::unique_ptr<net::HttpServer> server_;
  std::deque<RawCaller> callers_;
};

// Guards against aborting requests that the kernel had accepted: the I/O thread was blocked until
// the grace period of idle connections had passed, and then closed their connections unread.
TEST_F(ServerDrainTest, Drain_WhenIoThreadStallsBeyondGracePeriod_AnswersReceivedRequests) {
  Send(callers_[0], "/stall");
  WaitForStall(0);
  server_->BeginDrain();
  Send(callers_[1], "/stall");
  ResumeStall(0);
  WaitForStall(1);
  std::this_thread::sleep_for(2 * kGrace);
  for (std::size_t n = kStalls; n < callers_.size(); ++n) {
    Send(callers_[n], "/");
  }
  ResumeStall(1);
  std::size_t answered = 0;
  for (RawCaller& it : callers_) {
    answered += IsAnswer(it.ReadAll()) ? 1 : 0;
  }
  EXPECT_EQ(answered, callers_.size());
  EXPECT_TRUE(server_->WaitDrained(std::chrono::seconds(60)));
}

}  // namespace
}  // namespace clementineloom
