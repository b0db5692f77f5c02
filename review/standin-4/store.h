// A stand-in of the platform's store, as the users' PROTOCOL.md describes it: topics of one
// partition, producers with epochs and sequence numbers, and the newest record of each key.
#pragma once

#include <boost/json.hpp>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

namespace json = boost::json;

class Store {
 public:
  // Called before a call is handled; may return an answer that the store gives instead.
  using Hook = std::function<std::optional<Response>(const Request&)>;

  Store() : server_([this](const Request& it) { return Handle(it); }) { server_.Start(); }

  std::string Address() const { return server_.Address(); }

  void set_hook(Hook hook) {
    const std::lock_guard lock(mutex_);
    hook_ = std::move(hook);
  }

  // Writes a record as the operator or a worker does; an empty value removes the key.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    std::string record(1, static_cast<char>(key.size()));
    Append(topics_[topic], record + key + value, true);
    changed_.notify_all();
  }

  // The newest value of a key; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto& newest = topics_[topic].newest;
    const auto it = newest.find(key);
    return it == newest.end() ? "" : it->second.second;
  }

  // The newest value of each key.
  std::map<std::string, std::string> All(const std::string& topic) {
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> values;
    for (const auto& [key, value] : topics_[topic].newest) {
      values[key] = value.second;
    }
    return values;
  }

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> sequence;
    std::deque<std::pair<std::uint64_t, std::string>> answers;
  };
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::map<std::string, Producer> producers;
    std::mutex appending;
  };

  static void Append(Topic& topic, const std::string& record, bool is_keyed) {
    if (is_keyed && !record.empty()) {
      const auto length = static_cast<unsigned char>(record[0]);
      const std::string key = record.substr(1, length);
      const std::string value = record.substr(1 + length);
      if (value.empty()) {
        topic.newest.erase(key);
      } else {
        topic.newest[key] = {topic.records.size(), value};
      }
    }
    topic.records.push_back(record);
  }

  static std::string BigEndian(std::uint64_t number, int bytes) {
    std::string out;
    for (int n = bytes - 1; n >= 0; --n) {
      out += static_cast<char>(number >> (8 * n));
    }
    return out;
  }

  static std::string Base64(const std::string& bytes) {
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      unsigned n = static_cast<unsigned char>(bytes[i]) << 16;
      n |= i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) << 8 : 0;
      n |= i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0;
      out += digits[n >> 18 & 63];
      out += digits[n >> 12 & 63];
      out += i + 1 < bytes.size() ? digits[n >> 6 & 63] : '=';
      out += i + 2 < bytes.size() ? digits[n & 63] : '=';
    }
    return out;
  }

  std::optional<Response> Handle(const Request& request) {
    Hook hook;
    {
      const std::lock_guard lock(mutex_);
      hook = hook_;
    }
    if (hook) {
      if (auto answer = hook(request)) {
        // A status of 0 stands for no answer.
        return answer->status == 0 ? std::nullopt : answer;
      }
    }
    const std::string path = request.Path();
    if (path == "/log-append") {
      return HandleAppend(request);
    }
    if (path == "/log-read") {
      return HandleRead(request);
    }
    if (path == "/log-newest") {
      return HandleNewest(request);
    }
    return Response{404, "{}"};
  }

  Response HandleAppend(const Request& request) {
    Topic* topic;
    {
      const std::lock_guard lock(mutex_);
      topic = &topics_[request.Query("topic")];
    }
    const std::lock_guard appending(topic->appending);
    SleepMs(4);
    const std::lock_guard lock(mutex_);
    const std::string name = request.Query("producer");
    Producer* producer = name.empty() ? nullptr : &topic->producers[name];
    std::uint64_t sequence = 0;
    if (producer != nullptr) {
      const std::uint64_t epoch = std::stoull(request.Query("epoch"));
      sequence = std::stoull(request.Query("sequence"));
      if (epoch < producer->epoch) {
        return {409, R"({"reason":"fenced"})"};
      }
      if (epoch > producer->epoch) {
        *producer = Producer{epoch, std::nullopt, {}};
      }
      for (const auto& [number, answer] : producer->answers) {
        if (number == sequence) {
          return {200, answer};
        }
      }
      if (producer->sequence && sequence != *producer->sequence + 1) {
        return {409, json::serialize(
                         json::object{{"reason", "seq"}, {"sequence", *producer->sequence + 1}})};
      }
    }
    const bool is_keyed = request.Query("topic").rfind("keyed.", 0) == 0;
    const std::uint64_t offset = topic->records.size();
    std::size_t at = 0;
    while (at + 4 <= request.body.size()) {
      std::size_t length = 0;
      for (int n = 0; n < 4; ++n) {
        length = length << 8 | static_cast<unsigned char>(request.body[at + n]);
      }
      Append(*topic, request.body.substr(at + 4, length), is_keyed);
      at += 4 + length;
    }
    const std::string answer =
        json::serialize(json::object{{"offset", offset}, {"endOffset", topic->records.size()}});
    if (producer != nullptr && !request.body.empty()) {
      producer->sequence = sequence;
      producer->answers.emplace_back(sequence, answer);
      if (producer->answers.size() > 5) {
        producer->answers.pop_front();
      }
    }
    changed_.notify_all();
    return {200, answer};
  }

  Response HandleRead(const Request& request) {
    const std::uint64_t from = std::stoull(request.Query("from"));
    const std::string wait = request.Query("waitMs");
    const std::string max_kb = request.Query("maxKb");
    const std::size_t max = (max_kb.empty() ? 1024 : std::stoul(max_kb)) * 1024;
    std::unique_lock lock(mutex_);
    Topic& topic = topics_[request.Query("topic")];
    changed_.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait)),
                      [&] { return topic.records.size() > from; });
    std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
    const std::size_t head = body.size();
    for (std::uint64_t n = from; n < topic.records.size(); ++n) {
      const std::string& record = topic.records[n];
      if (body.size() - head + 4 + record.size() > max) {
        break;
      }
      body += BigEndian(record.size(), 4) + record;
    }
    return {200, body, "application/octet-stream"};
  }

  Response HandleNewest(const Request& request) {
    const std::lock_guard lock(mutex_);
    const Topic& topic = topics_[request.Query("topic")];
    const std::string after = request.Query("dependsOn");
    auto it = after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after);
    json::array items;
    for (; it != topic.newest.end() && items.size() < 500; ++it) {
      items.push_back(json::object{
          {"key", it->first}, {"value", Base64(it->second.second)}, {"offset", it->second.first}});
    }
    return {200, json::serialize(json::object{{"items", std::move(items)},
                                              {"hasMore", it != topic.newest.end()},
                                              {"endOffset", topic.records.size()}})};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  Hook hook_;
  Server server_;
};

}  // namespace review
