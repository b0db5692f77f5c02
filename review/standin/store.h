#pragma once

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

namespace json = boost::json;

// The platform's metadata store, as far as PROTOCOL.md describes it for keyed topics with one
// partition: /log-append with producers, /log-read with a wait, /log-newest with pages.
class Store {
 public:
  Store() : server_([this](const Request& it) { return Handle(it); }) {}

  [[nodiscard]] std::string address() const { return server_.address(); }

  // What the operator or a server writes.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::scoped_lock lock(mutex_);
    Add(topics_[topic], key, value);
    changed_.notify_all();
  }

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, std::string> answers;
  };
  struct Topic {
    std::vector<Record> records;
    std::map<std::string, std::uint64_t> newest;
    std::map<std::string, Producer> producers;
  };

  static void Add(Topic& topic, const std::string& key, const std::string& value) {
    topic.newest[key] = topic.records.size();
    topic.records.push_back({key, value});
  }

  static std::map<std::string, std::string> QueryOf(const std::string& target) {
    std::map<std::string, std::string> query;
    std::istringstream in(target.substr(std::min(target.find('?') + 1, target.size())));
    for (std::string part; std::getline(in, part, '&');) {
      const auto equals = part.find('=');
      query[part.substr(0, equals)] = Decoded(part.substr(equals + 1));
    }
    return query;
  }

  static std::string Decoded(const std::string& text) {
    std::string result;
    for (std::size_t n = 0; n < text.size(); ++n) {
      if (text[n] == '%' && n + 2 < text.size()) {
        result.push_back(static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16)));
        n += 2;
      } else {
        result.push_back(text[n]);
      }
    }
    return result;
  }

  static std::string Base64(const std::string& text) {
    static const char* const kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t n = 0; n < text.size(); n += 3) {
      std::uint32_t bits = 0;
      for (std::size_t m = 0; m < 3; ++m) {
        bits = bits << 8 | (n + m < text.size() ? static_cast<unsigned char>(text[n + m]) : 0U);
      }
      for (std::size_t m = 0; m < 4; ++m) {
        result.push_back(n + m <= text.size() ? kDigits[bits >> (18 - 6 * m) & 63U] : '=');
      }
    }
    return result;
  }

  Answer Handle(const Request& request) {
    const std::string target(request.target());
    auto query = QueryOf(target);
    if (target.starts_with("/log-append")) {
      return Append(query, request.body());
    }
    if (target.starts_with("/log-read")) {
      return Read(query);
    }
    return target.starts_with("/log-newest") ? Newest(query) : Answer{404, "{}"};
  }

  static std::uint64_t NumberAt(const std::string& bytes, std::size_t at, std::size_t count) {
    std::uint64_t number = 0;
    for (std::size_t n = 0; n < count; ++n) {
      number = number << 8 | static_cast<unsigned char>(bytes.at(at + n));
    }
    return number;
  }

  static std::string Bytes(std::uint64_t number, std::size_t count) {
    std::string bytes;
    for (std::size_t n = count; n > 0; --n) {
      bytes.push_back(static_cast<char>(number >> (8 * (n - 1))));
    }
    return bytes;
  }

  Answer Append(std::map<std::string, std::string>& query, const std::string& body) {
    // One append takes 4 ms.
    std::this_thread::sleep_for(std::chrono::milliseconds(4));
    const std::scoped_lock lock(mutex_);
    Topic& topic = topics_[query["topic"]];
    const std::uint64_t epoch = std::stoull(query["epoch"]);
    const std::uint64_t sequence = std::stoull(query["sequence"]);
    const auto [known, is_new] = topic.producers.try_emplace(query["producer"]);
    Producer& producer = known->second;
    if (!is_new && epoch < producer.epoch) {
      return {409, R"({"reason":"fenced"})"};
    }
    if (is_new || epoch > producer.epoch) {
      producer = {epoch, sequence, {}};
    } else {
      const auto repeat = producer.answers.find(sequence);
      if (repeat != producer.answers.end()) {
        return {200, repeat->second};
      }
      if (sequence != producer.sequence + 1) {
        return {409, json::serialize(
                         json::object{{"reason", "seq"}, {"sequence", producer.sequence + 1}})};
      }
    }
    const std::uint64_t offset = topic.records.size();
    for (std::size_t at = 0; at < body.size();) {
      const std::size_t length = NumberAt(body, at, 4);
      const std::size_t key_length = NumberAt(body, at + 4, 1);
      const std::string key = body.substr(at + 5, key_length);
      Add(topic, key, body.substr(at + 5 + key_length, length - 1 - key_length));
      at += 4 + length;
    }
    producer.sequence = sequence;
    const std::string answer =
        json::serialize(json::object{{"offset", offset}, {"endOffset", topic.records.size()}});
    producer.answers[sequence] = answer;
    while (producer.answers.size() > 5) {
      producer.answers.erase(producer.answers.begin());
    }
    changed_.notify_all();
    return {200, answer};
  }

  Answer Read(std::map<std::string, std::string>& query) {
    std::unique_lock lock(mutex_);
    const Topic& topic = topics_[query["topic"]];
    const std::uint64_t from = std::stoull(query["from"]);
    changed_.wait_for(lock, std::chrono::milliseconds(std::stoll(query["waitMs"])),
                      [&] { return topic.records.size() > from; });
    std::string body = Bytes(topic.records.size(), 8) + Bytes(0, 8);
    constexpr std::size_t kMaxBytes = std::size_t{1024} * 1024;
    for (std::uint64_t n = from; n < topic.records.size() && body.size() < kMaxBytes; ++n) {
      const Record& it = topic.records[n];
      body += Bytes(1 + it.key.size() + it.value.size(), 4) + Bytes(it.key.size(), 1) + it.key +
              it.value;
    }
    return {200, body};
  }

  Answer Newest(std::map<std::string, std::string>& query) {
    const std::scoped_lock lock(mutex_);
    const Topic& topic = topics_[query["topic"]];
    constexpr std::size_t kPage = 500;
    json::array items;
    bool has_more = false;
    for (const auto& [key, offset] : topic.newest) {
      const std::string& value = topic.records[offset].value;
      if (key <= query["dependsOn"] || value.empty()) {
        continue;
      }
      if (items.size() == kPage) {
        has_more = true;
        break;
      }
      items.push_back(json::object{{"key", key}, {"value", Base64(value)}, {"offset", offset}});
    }
    return {200, json::serialize(json::object{{"items", std::move(items)},
                                              {"hasMore", has_more},
                                              {"endOffset", topic.records.size()}})};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  Server server_;
};

}  // namespace review
