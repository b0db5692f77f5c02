// The platform's store, a few workers and a client on loopback, for the scripts of review/6 to
// review/10.
//
// usage: review-world SCENARIO TROUBLE FOLDER RECORD
// Picks free ports, writes the settings of three entry instances into FOLDER, waits until they are
// ready, plays the scenario, writes to RECORD what was sent, answered and run, and checks the rules
// TWICE and LOST as they are written. Exit status: 0 the rule held, 1 it was broken, 2 the case
// could not run.
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/src.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using Tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using SteadyClock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

namespace {

// One lock for the whole world: few processes, few calls.
std::mutex lock;
std::condition_variable changed;
using Guard = std::unique_lock<std::mutex>;

const SteadyClock::time_point begun_at = SteadyClock::now();

std::int64_t NowMs() {
  return std::chrono::duration_cast<Ms>(SteadyClock::now() - begun_at).count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// --- Record of what happened.

std::ofstream record;

void Note(const std::string& text) {
  std::ostringstream line;
  line << NowMs() << " ms  " << text << "\n";
  record << line.str() << std::flush;
}

// --- HTTP.

Response Json(int status, const json::object& body) {
  Response response;
  response.version(11);
  response.result(static_cast<unsigned>(status));
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(body);
  return response;
}

// Answers nothing if there is no response: the connection then stays silent until its caller closes
// it.
using Handler = std::function<std::optional<Response>(const Request&)>;

class Server {
 public:
  Server(std::uint16_t port, Handler handler) : handler_(std::move(handler)) {
    acceptor_.open(Tcp::v4());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind({asio::ip::make_address("127.0.0.1"), port});
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
    std::thread([this] { Accept(); }).detach();
  }
  std::uint16_t port() const { return port_; }
  // Ends all connections, as a process that ends does. The object is never destroyed.
  void Close() {
    const std::scoped_lock held(sockets_lock_);
    is_closed_ = true;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    for (const auto& it : sockets_) {
      ::shutdown(it->native_handle(), SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    while (true) {
      auto socket = std::make_shared<Tcp::socket>(context_);
      boost::system::error_code ec;
      acceptor_.accept(*socket, ec);
      {
        const std::scoped_lock held(sockets_lock_);
        if (ec || is_closed_) {
          acceptor_.close(ec);
          return;
        }
        sockets_.insert(socket);
      }
      std::thread([this, socket] { Serve(socket); }).detach();
    }
  }
  void Serve(const std::shared_ptr<Tcp::socket>& socket) {
    boost::system::error_code ec;
    socket->set_option(Tcp::no_delay(true), ec);
    boost::beast::flat_buffer buf;
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(64 * 1024 * 1024);
      http::read(*socket, buf, parser, ec);
      if (ec) {
        break;
      }
      const bool keep_alive = parser.get().keep_alive();
      auto response = handler_(parser.get());
      if (!response) {
        char byte = 0;
        while (!ec) {
          socket->read_some(asio::buffer(&byte, 1), ec);
        }
        break;
      }
      response->keep_alive(keep_alive);
      response->prepare_payload();
      http::write(*socket, *response, ec);
      if (ec || !keep_alive) {
        break;
      }
    }
    const std::scoped_lock held(sockets_lock_);
    sockets_.erase(socket);
    socket->close(ec);
  }

  Handler handler_;
  asio::io_context context_;
  Tcp::acceptor acceptor_{context_};
  std::uint16_t port_ = 0;
  std::mutex sockets_lock_;
  std::set<std::shared_ptr<Tcp::socket>> sockets_;
  bool is_closed_ = false;
};

// A free port below those that the kernel gives to outgoing connections.
std::uint16_t FreePort() {
  constexpr int kFirst = 20'000;
  constexpr int kCount = 10'000;
  // Processes that run side by side begin at different ports.
  static int next = static_cast<int>(::getpid()) * 61 % kCount;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    asio::io_context context;
    Tcp::acceptor acceptor(context);
    boost::system::error_code ec;
    acceptor.open(Tcp::v4());
    acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, ec);
    if (!ec) {
      return port;
    }
  }
}

std::string AddressOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// Sends a request and returns the answer, or nothing if there is none in time.
std::optional<Response> Call(std::uint16_t port, const std::string& method,
                             const std::string& target, const std::string& host,
                             const std::string& key, const std::string& body) {
  try {
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    const timeval limit{4, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    Request request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, host);
    if (!key.empty()) {
      request.set(http::field::authorization, "Token " + key);
      request.set("X-Clementineloom-Deadline-Ms", "3000");
    }
    if (!body.empty()) {
      request.set(http::field::content_type, "application/json");
    }
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();
    http::write(socket, request);
    boost::beast::flat_buffer buf;
    Response response;
    http::read(socket, buf, response);
    return response;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// --- The platform's store.

std::string BigEndian(std::uint64_t number, int bytes) {
  std::string text;
  for (int n = bytes - 1; n >= 0; --n) {
    text.push_back(static_cast<char>(number >> (8 * n)));
  }
  return text;
}

std::uint64_t ReadBigEndian(const std::string& text, std::size_t at, int bytes) {
  std::uint64_t number = 0;
  for (int n = 0; n < bytes; ++n) {
    number = number << 8 | static_cast<unsigned char>(text[at + n]);
  }
  return number;
}

std::string Base64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text.push_back(n + k <= bytes.size() ? kDigits[group >> (6 * (3 - k)) & 63U] : '=');
    }
  }
  return text;
}

class Store {
 public:
  // Appends the newest record of a key. Without a value the key is dropped. Lock held.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    topics_[topic].records.push_back({key, value});
    changed.notify_all();
  }

  std::optional<Response> Handle(const Request& request) {
    const std::string target(request.target());
    const auto query = QueryOf(target);
    if (target.starts_with("/log-append")) {
      std::this_thread::sleep_for(Ms(4));
      const Guard held(lock);
      return Append(query, request.body());
    }
    Guard held(lock);
    if (target.starts_with("/log-read")) {
      return Read(held, query);
    }
    if (target.starts_with("/log-newest")) {
      return Newest(query);
    }
    return Json(404, {});
  }

 private:
  using Query = std::map<std::string, std::string>;
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t last = 0;
    // Offsets of the last five appends by sequence number.
    std::map<std::uint64_t, std::uint64_t> offsets;
  };
  struct Topic {
    std::vector<std::pair<std::string, std::string>> records;
    std::map<std::string, Producer> producers;
  };

  static std::string Decoded(const std::string& text) {
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
      if (text[n] == '%' && n + 2 < text.size()) {
        decoded.push_back(static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16)));
        n += 2;
      } else {
        decoded.push_back(text[n]);
      }
    }
    return decoded;
  }
  static Query QueryOf(const std::string& target) {
    Query query;
    std::istringstream parts(target.substr(std::min(target.find('?'), target.size() - 1) + 1));
    for (std::string part; std::getline(parts, part, '&');) {
      const auto equals = part.find('=');
      if (equals != std::string::npos) {
        query[part.substr(0, equals)] = Decoded(part.substr(equals + 1));
      }
    }
    return query;
  }
  static std::uint64_t NumberOf(const Query& query, const char* name, std::uint64_t otherwise) {
    const auto it = query.find(name);
    return it == query.end() ? otherwise : std::stoull(it->second);
  }

  Response Append(const Query& query, const std::string& body) {
    Topic& topic = topics_[query.at("topic")];
    const std::uint64_t offset = topic.records.size();
    if (query.contains("producer")) {
      const std::uint64_t epoch = NumberOf(query, "epoch", 0);
      const std::uint64_t sequence = NumberOf(query, "sequence", 0);
      Producer& producer = topic.producers[query.at("producer")];
      if (epoch < producer.epoch) {
        return Json(409, {{"reason", "fenced"}});
      }
      if (epoch > producer.epoch) {
        producer = Producer{epoch, 0, {}};
      }
      const auto known = producer.offsets.find(sequence);
      if (known != producer.offsets.end()) {
        return Json(200, {{"offset", known->second}, {"endOffset", offset}});
      }
      if (!producer.offsets.empty() && sequence != producer.last + 1) {
        return Json(409, {{"reason", "seq"}, {"sequence", producer.last + 1}});
      }
      if (!body.empty()) {
        producer.last = sequence;
        producer.offsets[sequence] = offset;
        if (producer.offsets.size() > 5) {
          producer.offsets.erase(producer.offsets.begin());
        }
      }
    }
    for (std::size_t at = 0; at + 4 <= body.size();) {
      const std::uint64_t length = ReadBigEndian(body, at, 4);
      const std::uint64_t key_length = ReadBigEndian(body, at + 4, 1);
      topic.records.push_back({body.substr(at + 5, key_length),
                               body.substr(at + 5 + key_length, length - 1 - key_length)});
      at += 4 + length;
    }
    changed.notify_all();
    return Json(200, {{"offset", offset}, {"endOffset", topic.records.size()}});
  }

  Response Read(Guard& held, const Query& query) {
    Topic& topic = topics_[query.at("topic")];
    const std::uint64_t from = NumberOf(query, "from", 0);
    const auto until = SteadyClock::now() + Ms(NumberOf(query, "waitMs", 0));
    changed.wait_until(held, until, [&] { return topic.records.size() > from; });
    const std::uint64_t max_bytes = 1024 * NumberOf(query, "maxKb", 1024);
    std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
    for (std::uint64_t n = from; n < topic.records.size(); ++n) {
      const auto& [key, value] = topic.records[n];
      const std::size_t length = 1 + key.size() + value.size();
      if (body.size() + 4 + length > max_bytes) {
        break;
      }
      body += BigEndian(length, 4) + BigEndian(key.size(), 1) + key + value;
    }
    Response response;
    response.version(11);
    response.result(200);
    response.set(http::field::content_type, "application/octet-stream");
    response.body() = std::move(body);
    return response;
  }

  Response Newest(const Query& query) {
    const Topic& topic = topics_[query.at("topic")];
    std::map<std::string, std::uint64_t> newest;
    for (std::uint64_t n = 0; n < topic.records.size(); ++n) {
      newest[topic.records[n].first] = n;
    }
    const auto after = query.find("dependsOn");
    json::array items;
    bool has_more = false;
    for (auto it = after == query.end() ? newest.begin() : newest.upper_bound(after->second);
         it != newest.end(); ++it) {
      const std::string& value = topic.records[it->second].second;
      if (value.empty()) {
        continue;
      }
      if (items.size() == 500) {
        has_more = true;
        break;
      }
      items.push_back(
          json::object{{"key", it->first}, {"value", Base64(value)}, {"offset", it->second}});
    }
    return Json(
        200,
        {{"items", std::move(items)}, {"hasMore", has_more}, {"endOffset", topic.records.size()}});
  }

  std::map<std::string, Topic> topics_;
};

Store& TheStore() {
  static Store store;
  return store;
}

// --- What workers ran, for the check.

struct Run {
  std::string task;
  std::uint64_t run = 0;
  std::string worker;
  std::int64_t started_ms = 0;
  std::optional<std::int64_t> ended_ms;
  std::string how;
  // Taken note of: ackPosition reached its end, and the lease had not lapsed between the two.
  bool is_noted = false;
  bool has_lapsed = false;
};
std::deque<Run> runs;
// Calls to workers, and those of them that the network made late.
std::size_t calls = 0;
std::size_t late_calls = 0;

// --- The advice service. It allows every worker. A ticket holds for a step and a life of a worker,
// for kValidMs.

constexpr std::int64_t kValidMs = 3'000;
constexpr std::int64_t kFinishMs = 14'000;
// Set by the scenario before the configuration is published; 0 for a queue without advice.
std::int64_t decision_ms = 0;
std::int64_t per_worker_ms = 0;

struct Ticket {
  std::string step;
  std::string worker;
  std::int64_t valid_until_ms = 0;
};
std::map<std::string, Ticket> tickets;

class Advice {
 public:
  std::optional<Response> Handle(const Request& request) {
    boost::system::error_code ec;
    const json::value parsed = json::parse(request.body(), ec);
    if (ec || !parsed.is_object() || request.target() != "/advise") {
      return Json(400, {});
    }
    const std::string step(parsed.at("step").as_string());
    const json::array& names = parsed.at("workers").as_array();
    const auto time_ms = decision_ms + per_worker_ms * static_cast<std::int64_t>(names.size());
    std::uint64_t turn = 0;
    {
      Guard held(lock);
      Note("advice is asked about step " + step + " on " + std::to_string(names.size()) +
           " workers, which takes " + std::to_string(time_ms) + " ms");
      if (waiting_ >= 32) {
        return Json(429, {});
      }
      ++waiting_;
      // One call at a time; only the owner of the workers calls.
      turn = last_turn_++;
      changed.wait(held, [&] { return next_turn_ == turn; });
      --waiting_;
    }
    std::this_thread::sleep_for(Ms(time_ms));
    const Guard held(lock);
    ++next_turn_;
    changed.notify_all();
    json::array approved;
    for (const json::value& it : names) {
      const std::string worker(it.as_string());
      const std::string ticket = "t" + std::to_string(tickets.size());
      tickets[ticket] = {step, worker, NowMs() + kValidMs};
      approved.push_back(json::array{worker, ticket});
    }
    Note("advice answers about step " + step + ", turn " + std::to_string(turn));
    return Json(200, {{"approved", std::move(approved)}, {"validMs", kValidMs}});
  }

 private:
  std::uint64_t last_turn_ = 0;
  std::uint64_t next_turn_ = 0;
  std::size_t waiting_ = 0;
};

// --- Workers.

constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr std::int64_t kStopMs = 100;
constexpr std::int64_t kHeartbeatMs = 1'500;

class Worker {
 public:
  Worker(std::string id, std::string kind, std::string zone)
      : id_(std::move(id)), kind_(std::move(kind)), zone_(std::move(zone)) {
    Begin(600'000);
    Listen();
  }

  const std::string& id() const { return id_; }
  std::string address() const { return AddressOf(port_); }
  std::int64_t registered_ms() const { return registered_ms_; }

  // The following need the lock.

  // Writes the entry of this worker.
  void Register() {
    if (!is_up_) {
      return;
    }
    registered_ms_ = std::max<std::int64_t>(NowMs(), 1);
    TheStore().Put("keyed.servers", id_, Entry());
  }
  json::object EntryObject() {
    return {{"service", "inspect"},
            {"address", address()},
            {"zone", zone_},
            {"version", "v1"},
            {"slots", 8},
            {"state", is_draining_ ? "draining" : "ready"},
            {"remainingMs", is_draining_ ? 2'000 : 0},
            {"coldRemainingMs", 0},
            {"capacity", json::object{{"cpu", 128'000}, {"memMb", 262'144}, {"gpus", 8}}},
            {"labels", json::array{kind_, "r1-" + kind_}},
            {"clockMs", Clock()},
            {"sequence", ++sequence_},
            {"born", born_}};
  }
  std::string Entry() { return json::serialize(EntryObject()); }

  void Drain() {
    Note("worker " + id_ + " reports that it drains");
    is_draining_ = true;
    Register();
  }
  // The process ends. A planned end removes the entry.
  void End(bool is_planned) {
    Note("worker " + id_ + (is_planned ? " leaves" : " is killed"));
    is_up_ = false;
    ++life_;
    for (auto& [task, work] : running_) {
      work.entry->ended_ms = NowMs();
      work.entry->how = "gone";
    }
    running_.clear();
    server_->Close();
    if (is_planned) {
      TheStore().Put("keyed.servers", id_, "");
    }
    changed.notify_all();
  }
  // Starts again under its id at its address, knowing nothing.
  void Restart() {
    is_draining_ = false;
    Begin(0);
    Listen();
    Note("worker " + id_ + " starts again under its id, born " + std::to_string(born_));
    Register();
  }

  void Tick() {
    if (!is_up_) {
      return;
    }
    if (registered_ms_ > 0 && NowMs() - registered_ms_ >= kHeartbeatMs) {
      Register();
    }
    std::vector<std::pair<std::string, std::string>> over;
    for (auto& [task, work] : running_) {
      if (work.stops_ms && NowMs() >= *work.stops_ms) {
        over.emplace_back(task, "stopped");
      } else if (NowMs() >= work.done_ms) {
        over.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : over) {
      Finish(task, how);
    }
    if (lease_until_ > 0 && Clock() > lease_until_) {
      lease_until_ = 0;
      for (End_& it : ended_) {
        it.run->has_lapsed = true;
      }
      while (!running_.empty()) {
        Finish(running_.begin()->first, "lapsed");
      }
    }
  }

  bool is_up() const { return is_up_; }
  std::size_t CountRunning() const { return running_.size(); }
  std::int64_t last_hold_ms() const { return last_hold_ms_; }

  // What the network does: calls for which it gives a time get no answer and are carried out that
  // much later, by whichever process of this worker is there then.
  std::function<std::optional<std::int64_t>(const std::string& path, const json::object& body)>
      late;
  // While cut off one way, calls arrive and are carried out, but no answer leaves.
  bool is_cut = false;

 private:
  struct Work {
    std::uint64_t run = 0;
    std::int64_t done_ms = 0;
    std::optional<std::int64_t> stops_ms;
    Run* entry = nullptr;
  };
  struct End_ {
    std::uint64_t number = 0;
    Run* run = nullptr;
  };

  void Begin(std::int64_t clock_ms) {
    born_ = UnixMs();
    clock_base_ms_ = clock_ms - NowMs();
    ++life_;
    is_up_ = true;
    running_.clear();
    ended_.clear();
    refused_.clear();
    last_end_ = 0;
    token_ = 0;
    lease_until_ = 0;
    sequence_ = 0;
  }
  void Listen() {
    server_ = new Server(port_, [this](const Request& it) { return Handle(it); });
    port_ = server_->port();
  }
  std::int64_t Clock() const { return clock_base_ms_ + NowMs(); }

  static std::string Brief(const std::string& path, const json::object& body) {
    std::string text = path;
    for (const char* name : {"task", "runId", "fencingToken", "ackPosition", "deadlineMs"}) {
      if (body.contains(name)) {
        text += std::string(" ") + name + "=" + json::serialize(body.at(name));
      }
    }
    return text;
  }

  std::optional<Response> Handle(const Request& request) {
    Guard held(lock);
    const std::uint64_t life = life_;
    const std::string path(request.target());
    boost::system::error_code ec;
    const json::value parsed = json::parse(request.body(), ec);
    if (ec || !parsed.is_object()) {
      return Json(400, {{"clockMs", Clock()}});
    }
    const json::object body = parsed.get_object();
    if (request["X-Clementineloom-Target-Instance"] != id_) {
      Note("worker " + id_ + " answers 421 to " + Brief(path, body) + " for " +
           std::string(request["X-Clementineloom-Target-Instance"]));
      return Json(421, {{"clockMs", Clock()}});
    }
    ++calls;
    if (late) {
      if (const auto delay_ms = late(path, body)) {
        ++late_calls;
        Note("network to " + id_ + ": no answer to " + Brief(path, body) + ", which will arrive " +
             std::to_string(*delay_ms) + " ms late");
        std::thread([this, path, body, delay = *delay_ms] {
          std::this_thread::sleep_for(Ms(delay));
          const Guard again(lock);
          Note("network to " + id_ + ": the late " + Brief(path, body) +
               (is_up_ ? " arrives" : " finds nobody"));
          if (is_up_) {
            const Response answer = CarryOut(path, body);
            Note("worker " + id_ + " answers it " + std::to_string(answer.result_int()) + " " +
                 answer.body() + ", unread");
          }
        }).detach();
        return std::nullopt;
      }
    }
    Response response = CarryOut(path, body);
    if (path == "/hold" && response.result_int() == 200 && body.contains("waitMs")) {
      const auto until = SteadyClock::now() + Ms(body.at("waitMs").to_number<std::int64_t>());
      changed.wait_until(held, until, [&] { return life_ != life || !ended_.empty(); });
      response = Lists();
    }
    if (life_ != life || is_cut) {
      return std::nullopt;
    }
    return response;
  }

  Response CarryOut(const std::string& path, const json::object& body) {
    const std::uint64_t token =
        body.contains("fencingToken") ? body.at("fencingToken").to_number<std::uint64_t>() : 0;
    if (token < token_) {
      return Json(409, {{"clockMs", Clock()}, {"reason", "fence"}});
    }
    token_ = token;
    if (path == "/run-start") {
      return Start(body);
    }
    if (path == "/run-stop") {
      return Stop(body);
    }
    if (path == "/hold") {
      last_hold_ms_ = NowMs();
      Extend(body);
      const std::uint64_t ack =
          body.contains("ackPosition") ? body.at("ackPosition").to_number<std::uint64_t>() : 0;
      while (!ended_.empty() && ended_.front().number <= ack) {
        Run& run = *ended_.front().run;
        run.is_noted = run.is_noted || !run.has_lapsed;
        Note("worker " + id_ + " forgets end " + std::to_string(ended_.front().number) + " (" +
             run.task + " run " + std::to_string(run.run) + " " + run.how +
             "): ackPosition=" + std::to_string(ack));
        ended_.pop_front();
      }
      return Lists();
    }
    return Json(404, {{"clockMs", Clock()}});
  }

  void Extend(const json::object& body) {
    if (body.contains("deadlineMs")) {
      const auto until = body.at("deadlineMs").to_number<std::int64_t>();
      lease_until_ = std::max(lease_until_, std::min(until, Clock() + kMaxHoldMs));
    }
  }

  Response Start(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const auto number = body.at("runId").to_number<std::uint64_t>();
    const auto until = body.at("deadlineMs").to_number<std::int64_t>();
    if (until <= Clock()) {
      return Json(409, {{"clockMs", Clock()}, {"reason", "late"}});
    }
    Extend(body);
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.run == number) {
      return Json(200, {{"clockMs", Clock()}});
    }
    if (known != running_.end() || number <= refused_[task]) {
      return Json(409, {{"clockMs", Clock()}, {"reason", "old"}});
    }
    if (decision_ms > 0 && !HasTicket(body, task)) {
      return Json(409, {{"clockMs", Clock()}, {"reason", "ticket"}});
    }
    const std::int64_t work_ms = std::stoll(std::string(body.at("spec").as_string()));
    runs.push_back({task, number, id_, NowMs(), std::nullopt, "", false, false});
    running_[task] = {number, NowMs() + work_ms, std::nullopt, &runs.back()};
    Note("worker " + id_ + " starts " + task + " run " + std::to_string(number) + ", " +
         std::to_string(work_ms) + " ms of work");
    return Json(200, {{"clockMs", Clock()}});
  }

  bool HasTicket(const json::object& body, const std::string& task) const {
    const auto known = body.contains("ticket")
                           ? tickets.find(std::string(body.at("ticket").as_string()))
                           : tickets.end();
    return known != tickets.end() && known->second.worker == id_ &&
           known->second.step == task.substr(0, task.rfind('.')) &&
           NowMs() <= known->second.valid_until_ms;
  }

  Response Stop(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const auto number = body.at("runId").to_number<std::uint64_t>();
    Note("worker " + id_ + " is told to stop " + task + " run " + std::to_string(number));
    refused_[task] = std::max(refused_[task], number);
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.run <= number && !known->second.stops_ms) {
      known->second.stops_ms = NowMs() + kStopMs;
    }
    return Json(200, {{"clockMs", Clock()}});
  }

  void Finish(const std::string& task, const std::string& how) {
    const auto it = running_.find(task);
    const Work work = it->second;
    running_.erase(it);
    work.entry->ended_ms = NowMs();
    work.entry->how = how;
    refused_[task] = std::max(refused_[task], work.run);
    ended_.push_back({++last_end_, work.entry});
    Note("worker " + id_ + " ends " + task + " run " + std::to_string(work.run) + " " + how +
         ", its end " + std::to_string(last_end_));
    changed.notify_all();
  }

  Response Lists() {
    json::array running;
    for (const auto& [task, work] : running_) {
      const std::int64_t all = std::max<std::int64_t>(work.done_ms - work.entry->started_ms, 1);
      const std::int64_t percent = 100 * (NowMs() - work.entry->started_ms) / all;
      running.push_back(
          json::array{task, work.run, "", std::min<std::int64_t>(percent, 99), 1'000});
    }
    json::array ended;
    for (const End_& it : ended_) {
      ended.push_back(json::array{it.number, it.run->task, it.run->run, it.run->how, ""});
    }
    return Json(200, {{"clockMs", Clock()},
                      {"born", born_},
                      {"running", std::move(running)},
                      {"ended", std::move(ended)}});
  }

  const std::string id_;
  const std::string kind_;
  const std::string zone_;
  std::uint16_t port_ = 0;
  Server* server_ = nullptr;
  bool is_up_ = false;
  bool is_draining_ = false;
  std::uint64_t life_ = 0;
  std::int64_t born_ = 0;
  std::int64_t clock_base_ms_ = 0;
  std::int64_t registered_ms_ = 0;
  std::int64_t last_hold_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<std::string, Work> running_;
  std::deque<End_> ended_;
  // The highest run of each task that was stopped or has ended here.
  std::map<std::string, std::uint64_t> refused_;
  std::uint64_t last_end_ = 0;
  std::uint64_t token_ = 0;
  std::int64_t lease_until_ = 0;
};

// --- The rules.

// Set by the scenario that checks the rule LOST.
bool is_lost = false;

bool CheckRules() {
  bool is_broken = false;
  for (std::size_t n = 0; n < runs.size(); ++n) {
    const Run& later = runs[n];
    for (std::size_t k = 0; k < n; ++k) {
      const Run& earlier = runs[k];
      if (earlier.task != later.task) {
        continue;
      }
      const std::string names = later.task + ": run " + std::to_string(earlier.run) + " on " +
                                earlier.worker + " and run " + std::to_string(later.run) + " on " +
                                later.worker;
      if (!earlier.ended_ms || *earlier.ended_ms > later.started_ms) {
        is_broken = true;
        Note("TWICE broken: two runs at the same time, " + names + ", the second from " +
             std::to_string(later.started_ms) + " ms on");
      } else if (earlier.how == "done" && earlier.is_noted) {
        is_broken = true;
        Note("TWICE broken: a start at " + std::to_string(later.started_ms) +
             " ms after a run that ended done at " + std::to_string(*earlier.ended_ms) +
             " ms and was taken note of, " + names);
      }
    }
  }
  Note("calls to workers: " + std::to_string(calls) + ", late: " + std::to_string(late_calls));
  const bool is_any_broken = is_broken || is_lost;
  Note(std::string("result: ") + (is_broken ? "the rule TWICE was broken"
                                  : is_lost ? "the rule LOST was broken"
                                            : "the rules held"));
  return is_any_broken;
}

// --- The deployment.

constexpr const char* kHost = "nony24.example";
constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";

struct Instance {
  std::string name;
  std::string zone;
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
};
std::vector<Instance> instances;
std::vector<std::unique_ptr<Worker>> workers;

[[noreturn]] void Finish(int status) {
  record << std::flush;
  std::_Exit(status);
}

[[noreturn]] void CannotRun(const std::string& why) {
  Note("the case could not run: " + why);
  std::cerr << "the case could not run: " << why << "\n";
  Finish(2);
}

void Sleep(std::int64_t ms) { std::this_thread::sleep_for(Ms(std::max<std::int64_t>(ms, 0))); }

// Waits until a condition holds, which is read under the lock.
void Await(const std::string& what, std::int64_t limit_ms, const std::function<bool()>& holds) {
  const std::int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    {
      const Guard held(lock);
      if (holds()) {
        return;
      }
    }
    Sleep(10);
  }
  CannotRun("waited " + std::to_string(limit_ms) + " ms for " + what);
}

void Submit(std::size_t instance, const std::string& job, std::int64_t work_ms,
            const std::string& label) {
  json::object step{
      {"count", 1}, {"cpu", 52'000}, {"memMb", 140'000}, {"gpus", 8}, {"estimateMs", work_ms}};
  if (!label.empty()) {
    step["requirements"] = label;
  }
  const std::string body = json::serialize(
      json::object{{"spec", std::to_string(work_ms)}, {"steps", json::array{std::move(step)}}});
  for (std::size_t n = 0; n < 5; ++n) {
    const Instance& at = instances[(instance + n) % instances.size()];
    const auto answer = Call(at.front, "POST", "/lohu930/" + job, kHost, kKey, body);
    {
      const Guard held(lock);
      Note("client sends job " + job + " to " + at.name + ": " +
           (answer ? std::to_string(answer->result_int()) : std::string("no answer")));
    }
    if (answer && answer->result_int() < 300) {
      return;
    }
    Sleep(300);
  }
  CannotRun("job " + job + " was not accepted");
}

std::string StateOf(std::size_t instance, const std::string& job) {
  const auto answer =
      Call(instances[instance].front, "GET", "/lohu930/" + job, kHost, kKey, std::string());
  return answer ? std::to_string(answer->result_int()) + " " + answer->body() : "no answer";
}

void AwaitCompleted(const std::string& job, std::int64_t limit_ms) {
  const std::int64_t until = NowMs() + limit_ms;
  std::string state;
  while (NowMs() < until) {
    state = StateOf(1, job);
    if (state.find("completed") != std::string::npos) {
      const Guard held(lock);
      Note("client asks for job " + job + ": " + state);
      return;
    }
    Sleep(100);
  }
  CannotRun("job " + job + " is not completed: " + state);
}

bool IsStarted(const std::string& job) {
  for (const Run& it : runs) {
    if (it.task.starts_with(job)) {
      return true;
    }
  }
  return false;
}

bool IsNoted(const std::string& job) {
  return std::any_of(runs.begin(), runs.end(),
                     [&](const Run& it) { return it.task.starts_with(job) && it.is_noted; });
}

void WriteSettings(const std::string& folder, std::uint16_t store, std::uint16_t advice) {
  std::ofstream list(folder + "/instances.tmp");
  for (Instance& it : instances) {
    it.front = FreePort();
    it.ready = FreePort();
    const std::string path = folder + "/" + it.name + ".json";
    std::ofstream(path) << json::serialize(json::object{{"instance", it.name},
                                                        {"region", "kurzeme"},
                                                        {"data_centre", it.zone},
                                                        {"listen", AddressOf(it.front)},
                                                        {"ready", AddressOf(it.ready)},
                                                        {"metrics", AddressOf(FreePort())},
                                                        {"store", AddressOf(store)},
                                                        {"advice", AddressOf(advice)},
                                                        {"processor_share", 0.25},
                                                        {"max_lease_ms", kMaxHoldMs},
                                                        {"stop_timeout_ms", 200},
                                                        {"gang_timeout_ms", 3'000},
                                                        {"state_retention_s", 120}});
    list << path << "\n";
  }
  list.close();
  // run.sh starts an instance for each line once the file is there.
  std::rename((folder + "/instances.tmp").c_str(), (folder + "/instances").c_str());
}

std::string Config() {
  json::object route{{"name", "r-7ejsmzz"}, {"host", kHost},        {"pathPrefix", "/lohu930/"},
                     {"type", "unsafe"},    {"timeoutMs", 3'000},   {"targetLatencyMs", 1'000},
                     {"priority", 1},       {"service", "inspect"}, {"maxAttempts", 4},
                     {"stretch", 3.0},      {"public", false}};
  if (decision_ms > 0) {
    route["advice"] = json::object{
        {"decisionMs", decision_ms}, {"perWorkerMs", per_worker_ms}, {"validMs", kValidMs}};
  }
  return json::serialize(json::object{
      {"version", 7},
      {"routes", json::array{std::move(route)}},
      {"services", json::array{json::object{{"name", "inspect"},
                                            {"healthPath", "/health"},
                                            {"maxConnections", 64},
                                            {"protocol", "h1"},
                                            {"tls", false},
                                            {"enforcesCapacity", false},
                                            {"standby", false}}}},
      {"limits", json::object{{"maxHeaderBytes", 16'384},
                              {"maxBodyBytes", 262'144},
                              {"headerTimeoutMs", 3'000},
                              {"idleTimeoutMs", 15'000}}},
      {"tenants", json::array{json::object{{"name", "kaje80"},
                                           {"apiKeys", json::array{kKey}},
                                           {"priority", 1},
                                           {"guaranteed", json::object{{"gpus", 16}}}}}}});
}

void AwaitReady() {
  const std::int64_t until = NowMs() + 20'000;
  while (NowMs() < until) {
    std::size_t ready = 0;
    for (const Instance& it : instances) {
      const auto answer = Call(it.ready, "GET", "/ready", kHost, "", "");
      ready += answer && answer->result_int() == 200 ? 1 : 0;
    }
    if (ready == instances.size()) {
      // Traffic starts some seconds after the machines do.
      Sleep(4'000);
      return;
    }
    Sleep(200);
  }
  CannotRun("the instances are not ready");
}

// --- Scenarios. Each plays for well under 60 s. Jobs that ask for the label "b" run on workers[0]
// only.

// Other work, on workers of the other kind.
void SubmitOtherWork() {
  for (const char* job : {"00000000000000f1", "00000000000000f2", "00000000000000f3"}) {
    Submit(2, job, 11'000, "a");
  }
}

// Another writer leaves an entry of a service that no configuration names under the id of a worker
// at work. Its address is that of another worker.
void OddEntry(bool has_trouble) {
  Submit(0, "00000000000000a1", 11'000, "");
  Await("the start", 5'000, [] { return IsStarted("00000000000000a1"); });
  Sleep(2'000);
  Worker* at_work = nullptr;
  Worker* other = nullptr;
  {
    const Guard held(lock);
    for (const auto& it : workers) {
      (it->CountRunning() > 0 ? at_work : other) = it.get();
    }
  }
  if (at_work == nullptr) {
    CannotRun("no worker is at work");
  }
  // The worker itself writes its entry again 1.5 s after it did so last.
  Await("a heartbeat", 3'000, [&] { return NowMs() - at_work->registered_ms() < 30; });
  Sleep(50);
  if (has_trouble) {
    const Guard held(lock);
    const std::string entry = json::serialize(
        json::object{{"service", "inspect-trial"},
                     {"address", other->address()},
                     {"zone", "kolka"},
                     {"state", "ready"},
                     {"capacity", json::object{{"cpu", 16'000}, {"memMb", 32'768}, {"gpus", 0}}},
                     {"labels", json::array{"t", "r9-9"}},
                     {"sequence", 1}});
    Note("another writer leaves under servers/" + at_work->id() + ": " + entry);
    TheStore().Put("keyed.servers", at_work->id(), entry);
  }
  Sleep(16'000);
}

// An order to start gets no answer and arrives 10 s late. Its repetition runs, is done and is taken
// note of. Then the worker is replaced: it drains, leaves, and starts again under its id.
void ReleasedWorker(bool has_trouble) {
  Worker& worker = *workers[0];
  const std::string job = "00000000000000a1";
  bool is_used = false;
  if (has_trouble) {
    const Guard held(lock);
    worker.late = [&](const std::string& path, const json::object&) {
      return path == "/run-start" && !std::exchange(is_used, true)
                 ? std::optional<std::int64_t>(10'000)
                 : std::nullopt;
    };
  }
  SubmitOtherWork();
  Submit(0, job, 1'500, "b");
  AwaitCompleted(job, 8'000);
  Await("the end to be taken note of", 3'000, [&] { return IsNoted(job); });
  if (has_trouble) {
    {
      const Guard held(lock);
      worker.Drain();
    }
    Sleep(2'200);
    {
      const Guard held(lock);
      worker.End(true);
    }
    Sleep(1'000);
    {
      const Guard held(lock);
      worker.Restart();
    }
  }
  Sleep(10'000);
  const Guard held(lock);
  worker.late = nullptr;
}

// The call that takes note of an end gets no answer and arrives late, after its worker was killed
// and has started again under its id. It makes the new process forget an end that nobody has read,
// because the call that would have listed it has no answer either.
void LateAcknowledgement(bool has_trouble) {
  Worker& worker = *workers[0];
  bool is_acknowledged = false;
  std::int64_t first_ms = 0;
  bool may_lose_list = false;
  bool is_list_lost = false;
  constexpr std::int64_t kFirstLateMs = 5'300;
  if (has_trouble) {
    const Guard held(lock);
    worker.late = [&](const std::string& path,
                      const json::object& body) -> std::optional<std::int64_t> {
      if (path != "/hold") {
        return std::nullopt;
      }
      const bool acknowledges =
          body.contains("ackPosition") && body.at("ackPosition").to_number<std::uint64_t>() > 0;
      if (acknowledges && !std::exchange(is_acknowledged, true)) {
        first_ms = NowMs();
        return kFirstLateMs;
      }
      if (may_lose_list && !std::exchange(is_list_lost, true)) {
        return 6'000;
      }
      return std::nullopt;
    };
  }
  SubmitOtherWork();
  Submit(0, "00000000000000a1", 1'000, "b");
  AwaitCompleted("00000000000000a1", 8'000);
  if (!has_trouble) {
    Sleep(1'000);
    Submit(0, "00000000000000a2", 2'400, "b");
    Sleep(14'000);
    return;
  }
  Await("the late acknowledgement", 3'000, [&] { return is_acknowledged; });
  Sleep(200);
  {
    const Guard held(lock);
    worker.End(false);
  }
  Sleep(500);
  {
    const Guard held(lock);
    worker.Restart();
  }
  // The second job ends 350 ms before the late call arrives. The call that waits for its end
  // meanwhile was sent 1.3 s after the start.
  constexpr std::int64_t kWorkMs = 2'400;
  while (NowMs() < first_ms + kFirstLateMs - kWorkMs - 370) {
    Sleep(5);
  }
  Submit(0, "00000000000000a2", kWorkMs, "b");
  Await("the start", 3'000, [] { return IsStarted("00000000000000a2"); });
  Sleep(1'000);
  {
    const Guard held(lock);
    may_lose_list = true;
  }
  Sleep(14'000);
  const Guard held(lock);
  worker.late = nullptr;
}

// A call that extends the lease gets no answer and arrives 11.8 s late. Its worker is cut off one
// way, crashes behind the cut and starts again under its id. Some seconds later it is cut off one
// way again. Meanwhile the late call arrives and extends the lease beyond what the caller counts
// with.
void LateLease(bool has_trouble) {
  const std::string job = "00000000000000a2";
  Worker* worker = nullptr;
  bool is_armed = false;
  std::int64_t late_ms = 0;
  Submit(0, "00000000000000a1", 4'000, "");
  Await("the start", 5'000, [] { return IsStarted("00000000000000a1"); });
  {
    const Guard held(lock);
    for (const auto& it : workers) {
      worker = it->CountRunning() > 0 ? it.get() : worker;
    }
    if (has_trouble) {
      worker->late = [&](const std::string& path,
                         const json::object& body) -> std::optional<std::int64_t> {
        if (path == "/hold" && is_armed && late_ms == 0 && body.contains("deadlineMs")) {
          late_ms = NowMs();
          return 11'800;
        }
        return std::nullopt;
      };
    }
  }
  const auto cut = [&](bool is_cut) {
    const Guard held(lock);
    Note("worker " + worker->id() + (is_cut ? " is cut off one way" : " is heard again"));
    worker->is_cut = is_cut;
  };
  Sleep(1'000);
  {
    const Guard held(lock);
    is_armed = true;
  }
  if (has_trouble) {
    Await("a hold", 4'000, [&] { return late_ms > 0; });
    Sleep(200);
    cut(true);
    Sleep(200);
    {
      const Guard held(lock);
      worker->End(false);
    }
    Sleep(1'000);
    {
      const Guard held(lock);
      worker->Restart();
    }
    Sleep(200);
    cut(false);
  } else {
    late_ms = NowMs();
  }
  Sleep(late_ms + 7'000 - NowMs());
  Submit(0, job, 11'000, "");
  Await("the start", 5'000, [&] { return IsStarted(job); });
  if (!has_trouble) {
    Sleep(24'000);
    return;
  }
  {
    const Guard held(lock);
    if (worker->CountRunning() == 0) {
      CannotRun("the second job runs on another worker");
    }
  }
  // The lease that the caller counts with from the restart on ends 10.5 s after it was noticed. The
  // cut lasts 5.5 s and begins more than a second after the last renewal.
  Sleep(late_ms + 8'600 - NowMs());
  Await("a renewal", 3'000, [&] {
    const std::int64_t age = NowMs() - worker->last_hold_ms();
    return age >= 1'050 && age <= 1'200;
  });
  cut(true);
  Sleep(5'500);
  cut(false);
  Sleep(12'000);
  const Guard held(lock);
  worker->late = nullptr;
}

// The rule LOST: kFinishMs after the end of the traffic the job has nothing running for 3 s though
// there is room.
void CheckLost(const std::string& job, std::int64_t traffic_end_ms) {
  Sleep(traffic_end_ms + kFinishMs - NowMs());
  bool is_broken = StateOf(1, job).find("completed") == std::string::npos;
  const std::int64_t until = NowMs() + 3'000;
  while (is_broken && NowMs() < until) {
    {
      const Guard held(lock);
      is_broken = std::none_of(runs.begin(), runs.end(), [&](const Run& it) {
        return it.task.starts_with(job) && !it.ended_ms;
      });
    }
    Sleep(10);
  }
  const std::string state = StateOf(1, job);
  const Guard held(lock);
  Note("client asks for job " + job + ": " + state);
  const auto idle = std::count_if(workers.begin(), workers.end(), [](const auto& it) {
    return it->is_up() && it->CountRunning() == 0;
  });
  if (is_broken && idle >= 2 && 2 * idle > static_cast<std::int64_t>(workers.size())) {
    is_lost = true;
    Note("LOST broken: 14 s after the end of the traffic job " + job +
         " has had nothing running for 3 s; " + std::to_string(idle) + " of " +
         std::to_string(workers.size()) + " workers are up and idle");
  }
}

// A queue with advice, whose service needs 2.2 s for a question about 30 workers. All workers are
// idle and allowed.
void SlowAdvice(bool) {
  Submit(0, "00000000000000a1", 2'500, "");
  CheckLost("00000000000000a1", NowMs());
}

// Two orders to start a task get no answer. Its worker drains meanwhile, and leaves for good.
// Others are idle.
void LeftWorker(bool has_trouble) {
  const std::string job = "00000000000000a1";
  Worker* worker = nullptr;
  std::size_t used = 0;
  if (has_trouble) {
    const Guard held(lock);
    for (const auto& it : workers) {
      it->late = [&, at = it.get()](const std::string& path,
                                    const json::object& body) -> std::optional<std::int64_t> {
        const bool is_of_job =
            path == "/run-start" && std::string(body.at("task").as_string()).starts_with(job);
        if (!is_of_job || used == 2) {
          return std::nullopt;
        }
        worker = at;
        return ++used == 1 ? 10'000 : 9'000;
      };
    }
  }
  SubmitOtherWork();
  Submit(0, job, 2'500, "");
  const std::int64_t traffic_end_ms = NowMs();
  if (has_trouble) {
    Await("two orders", 4'000, [&] { return used == 2; });
    Sleep(200);
    {
      const Guard held(lock);
      worker->Drain();
    }
    Sleep(2'000);
    const Guard held(lock);
    worker->End(true);
  }
  CheckLost(job, traffic_end_ms);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: review-world SCENARIO TROUBLE FOLDER RECORD\n";
    return 2;
  }
  const std::string scenario = argv[1];
  const bool has_trouble = std::string(argv[2]) != "0";
  const std::string folder = argv[3];
  record.open(argv[4]);
  const std::map<std::string, std::function<void(bool)>> scenarios{
      {"odd-entry", OddEntry},
      {"released-worker", ReleasedWorker},
      {"late-acknowledgement", LateAcknowledgement},
      {"late-lease", LateLease},
      {"advice", SlowAdvice},
      {"left-worker", LeftWorker}};
  const auto play = scenarios.find(scenario);
  if (play == scenarios.end()) {
    std::cerr << "unknown scenario\n";
    return 2;
  }
  const Server store(0, [](const Request& it) { return TheStore().Handle(it); });
  static Advice advice_service;
  const Server advice(0, [](const Request& it) { return advice_service.Handle(it); });
  if (scenario == "advice") {
    // A question names 30 workers: 2,200 ms, or 600 ms.
    decision_ms = has_trouble ? 700 : 300;
    per_worker_ms = has_trouble ? 50 : 10;
  }
  workers.push_back(std::make_unique<Worker>("i-7f3a91c2", "b", "kolka"));
  for (const char* id : {"i-20c4de15", "i-3a9915f0", "i-51b0a7f3", "i-66d20b81", "i-90e7c34d",
                         "i-c93e6a08", "i-e418af72"}) {
    workers.push_back(std::make_unique<Worker>(id, "a", "liepaja"));
  }
  for (int n = 0; scenario == "advice" && n < 40; ++n) {
    workers.push_back(std::make_unique<Worker>("i-e" + std::to_string(100 + n), "a", "ventspils"));
  }
  {
    const Guard held(lock);
    TheStore().Put("keyed.op", "config", Config());
    for (const auto& it : workers) {
      it->Register();
    }
  }
  std::thread([] {
    while (true) {
      {
        const Guard held(lock);
        for (const auto& it : workers) {
          it->Tick();
        }
      }
      Sleep(5);
    }
  }).detach();
  instances = {
      {"edge-kolka-1", "kolka"}, {"edge-liepaja-1", "liepaja"}, {"edge-ventspils-1", "ventspils"}};
  WriteSettings(folder, store.port(), advice.port());
  AwaitReady();
  {
    const Guard held(lock);
    Note("scenario " + scenario + (has_trouble ? "" : ", without the disruption"));
  }
  play->second(has_trouble);
  const Guard held(lock);
  Finish(CheckRules() ? 1 : 0);
}
