#include "soak/caller_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "soak/request_text.h"

namespace clementineloom::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using Tcp = asio::ip::tcp;

// Longest time that a caller takes to write a batch before it gives up.
constexpr std::chrono::milliseconds kMaxWriteTime{5'000};

RequestEnd EndOf(error_code ec) {
  if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor) {
    return RequestEnd::kTimedOut;
  }
  if (ec == asio::error::eof || ec == http::error::end_of_stream ||
      ec == http::error::partial_message) {
    return RequestEnd::kClosed;
  }
  return ec == asio::error::connection_reset || ec == asio::error::broken_pipe
             ? RequestEnd::kReset
             : RequestEnd::kMalformed;
}

}  // namespace

CallerConnection::CallerConnection(asio::io_context& context, const CallerOptions& options,
                                   CallPlan& plan)
    : options_(options), plan_(plan), socket_(context), watchdog_(context), pause_(context) {}

bool CallerConnection::IsUsable() {
  if (!socket_.is_open() || close_received_ || buf_.size() > 0) {
    return false;
  }
  char byte = 0;
  error_code ec;
  socket_.non_blocking(true, ec);
  (void)socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

asio::awaitable<bool> CallerConnection::Connect(Endpoint endpoint, std::size_t instance,
                                                std::uint64_t number) {
  Close();
  buf_.clear();
  close_received_ = false;
  instance_ = instance;
  number_ = number;
  watchdog_.expires_after(options_.connect_timeout);
  watchdog_.async_wait([this](error_code ec) {
    if (!ec) {
      Close();
    }
  });
  error_code ec;
  co_await socket_.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
  watchdog_.cancel();
  if (ec || !socket_.is_open()) {
    Close();
    co_return false;
  }
  socket_.set_option(Tcp::no_delay(true), ec);
  const Endpoint local = socket_.local_endpoint(ec);
  local_port_ = ec ? 0 : local.port();
  co_return true;
}

asio::awaitable<std::vector<RequestRecord>> CallerConnection::Exchange(const RequestBatch& batch) {
  using asio::experimental::awaitable_operators::operator&&;
  records_.clear();
  deadlines_.clear();
  offsets_.clear();
  ended_ = 0;
  for (const PlannedRequest& it : batch.requests) {
    RequestRecord record = RequestRecord::Of(it, options_.path_prefix, instance_);
    record.connection = number_;
    record.local_port = local_port_;
    records_.push_back(std::move(record));
    deadlines_.push_back(it.deadline);
  }
  co_await (Write(batch) && Read());
  watchdog_.cancel();
  if (close_received_) {
    Close();
  }
  co_return records_;
}

void CallerConnection::Close() {
  error_code ec;
  socket_.close(ec);
  pause_.cancel();
}

asio::awaitable<void> CallerConnection::Write(const RequestBatch& batch) {
  std::string text;
  for (const PlannedRequest& it : batch.requests) {
    text += RequestText(options_, it);
    offsets_.push_back(text.size());
  }
  std::size_t begin = 0;
  for (const std::size_t size : plan_.PieceSizes(text.size(), batch.pace)) {
    const auto pause = plan_.NextPause(batch.pace);
    error_code ec;
    if (begin > 0 && pause.count() > 0) {
      pause_.expires_after(pause);
      co_await pause_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    const WriteStart start{Clock::now(), ended_, close_received_};
    const std::size_t n =
        co_await asio::async_write(socket_, asio::buffer(text.data() + begin, size),
                                   asio::redirect_error(asio::use_awaitable, ec));
    NoteWritten(begin, begin + n, start);
    ArmWatchdog();
    if (ec) {
      co_return;
    }
    begin += n;
  }
}

asio::awaitable<void> CallerConnection::Read() {
  while (ended_ < records_.size()) {
    ArmWatchdog();
    http::response_parser<http::string_body> parser;
    error_code ec;
    co_await http::async_read(socket_, buf_, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      EndRest(ec);
      Close();
      co_return;
    }
    RequestRecord& record = records_[ended_++];
    record.end = RequestEnd::kAnswered;
    record.ended = Clock::now();
    record.status = static_cast<int>(parser.get().result_int());
    record.body = parser.get().body();
    close_received_ = close_received_ || !parser.get().keep_alive();
  }
}

void CallerConnection::NoteWritten(std::size_t begin, std::size_t end, const WriteStart& start) {
  const auto now = Clock::now();
  std::size_t first = 0;
  for (std::size_t n = 0; n < records_.size(); ++n) {
    const std::size_t last = offsets_[n];
    RequestRecord& record = records_[n];
    if (!record.first_byte && begin <= first && first < end) {
      record.first_byte = start.time;
      record.is_pipelined = start.ended < n;
      record.is_after_close = start.close_received;
    }
    if (begin < last && last <= end) {
      record.last_byte = now;
    }
    first = last;
  }
}

void CallerConnection::EndRest(error_code ec) {
  for (; ended_ < records_.size(); ++ended_) {
    records_[ended_].end = EndOf(ec);
    records_[ended_].ended = Clock::now();
  }
}

void CallerConnection::ArmWatchdog() {
  if (ended_ >= records_.size()) {
    return;
  }
  const auto written = records_[ended_].last_byte.value_or(Clock::now() + kMaxWriteTime);
  watchdog_.expires_at(written + deadlines_[ended_] + options_.patience);
  watchdog_.async_wait([this](error_code ec) {
    if (!ec && watchdog_.expiry() <= Clock::now()) {
      Close();
    }
  });
}

}  // namespace clementineloom::soak
