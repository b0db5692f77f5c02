#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/keyed_value.h"
#include "standin/sim_world.h"

namespace clementineloom::standin {

/// @brief A stand-in for the platform's store: compacted topics of one partition, in memory.
/// Thread safety: none.
class StandInStore {
 public:
  static constexpr const char* kAddress = "10.0.0.1:1";

  explicit StandInStore(SimWorld& world) : world_(world) {
    world_.Serve(kAddress, [this](const net::HttpRequest& request, SimWorld::Reply reply) {
      Handle(request, std::move(reply));
    });
  }

  /// @brief Adds a record as another writer, an operator or a worker, does.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    Add(topic, {{key, value}});
  }

  /// @brief All calls are answered with 503, and nothing is done, until Refuse(false).
  void Refuse(bool refuse) { refuses_ = refuse; }
  /// @brief Appends are answered with 503, and reads go on, until RefuseAppends(false).
  void RefuseAppends(bool refuse) { refuses_appends_ = refuse; }
  /// @brief Appends of producers whose names begin so are answered with 503 after a while.
  void RefuseAppendsOf(const std::string& prefix, workload::Milliseconds delay) {
    slow_producers_[prefix] = {true, delay};
  }
  /// @brief Appends of producers whose names begin so are carried out and answered after a while.
  void DelayAppendsOf(const std::string& prefix, workload::Milliseconds delay) {
    slow_producers_[prefix] = {false, delay};
  }
  /// @brief Every call takes this much longer.
  void SlowDown(workload::Milliseconds delay) { delay_ = delay; }
  /// @brief So many of the next appends are carried out and get no answer.
  void LoseAppendAnswers(int count) { lost_appends_ = count; }
  /// @brief So many of the next appends of producers whose names begin so get no answer, and are
  /// carried out, as far as their conditions hold then, by CarryOutHeld.
  void HoldAppendsOf(const std::string& prefix, int count) { held_producers_[prefix] = count; }
  /// @brief Carries out the appends that were held, in the order in which they came.
  void CarryOutHeld();
  [[nodiscard]] std::size_t held_appends() const { return held_.size(); }
  /// @brief Cuts loads into pages of so many keys; each after the first comes after a while.
  void CutPages(std::size_t keys, workload::Milliseconds delay) {
    page_keys_ = keys;
    page_delay_ = delay;
  }
  /// @brief Cuts reads into answers of so many records.
  void CutBatches(std::size_t records) { batch_records_ = records; }
  /// @brief Forgets the records before the end of a topic; the newest of each key stay.
  void Compact(const std::string& topic) { topics_[topic].first = End(topic); }

  [[nodiscard]] std::uint64_t End(const std::string& topic) {
    return topics_[topic].records.size();
  }
  [[nodiscard]] const std::vector<workload::KeyedValue>& Records(const std::string& topic) {
    return topics_[topic].records;
  }

 private:
  // Repeats of older appends are no longer known.
  static constexpr std::size_t kKnownRepeats = 5;

  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    // Of the last appends, by sequence number.
    std::map<std::uint64_t, std::uint64_t> offsets;
  };
  struct SlowProducer {
    bool is_refused = false;
    workload::Milliseconds delay{0};
  };
  struct HeldAppend {
    std::string target;
    std::string body;
  };
  struct Waiter {
    std::uint64_t from = 0;
    SimWorld::Reply reply;
    bool is_over = false;
  };
  struct Topic {
    std::vector<workload::KeyedValue> records;
    std::uint64_t first = 0;
    std::map<std::string, Producer> producers;
    std::list<std::shared_ptr<Waiter>> waiters;
  };

  void Handle(const net::HttpRequest& request, SimWorld::Reply reply);
  void Serve(const net::HttpRequest& request, SimWorld::Reply reply);
  // Whether an append is kept to be carried out later.
  bool Hold(const net::HttpRequest& request);
  // Carries an append out, or delays or refuses it for its producer.
  void AppendInTime(const net::HttpRequest& request, const SimWorld::Reply& reply);
  void Append(const std::string& target, const std::string& body, const SimWorld::Reply& reply);
  void Read(const std::string& target, SimWorld::Reply reply);
  void SendPage(const std::string& target, const SimWorld::Reply& reply);
  [[nodiscard]] net::HttpResponse Newest(const std::string& target);
  void Add(const std::string& topic, const std::vector<workload::KeyedValue>& items);
  [[nodiscard]] net::HttpResponse Batch(const Topic& topic, std::uint64_t from) const;

  SimWorld& world_;
  std::map<std::string, Topic> topics_;
  // By the beginning of their names.
  std::map<std::string, SlowProducer> slow_producers_;
  std::map<std::string, int> held_producers_;
  std::vector<HeldAppend> held_;
  std::size_t page_keys_ = 500;
  workload::Milliseconds page_delay_{0};
  std::size_t batch_records_ = 10'000;
  bool refuses_ = false;
  bool refuses_appends_ = false;
  workload::Milliseconds delay_{0};
  int lost_appends_ = 0;
};

}  // namespace clementineloom::standin
