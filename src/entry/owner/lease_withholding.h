#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/lease_ends.h"
#include "clementineloom/workload/workload_record.h"
#include "entry/owner/owner_core.h"

namespace clementineloom::entry {

/// @brief Records when the leases of silent workers end, so that the tasks of a lost worker do not
/// wait anew after each change of owner.
///
/// While a worker with runs does not answer, its lease is not extended, and the record says so. The
/// lease of such a worker is extended again only once the withdrawal of the record is stored: no
/// successor can have read the record without it then. Without a current confirmation of the store
/// nothing is recorded, because the withdrawal might not be stored before the lease has ended.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class LeaseWithholding {
 public:
  explicit LeaseWithholding(OwnerCore<Platform, Port>& core)
      : core_(core), began_at_(core.port.Now()) {}

  /// @brief Records the ends of leases again that earlier owners have recorded, with the time that
  /// is left now: an instance that starts later counts it from when it reads the record.
  void RecordInherited() {
    const Leases leases = core_.lease_ends.leases();
    Record(leases);
  }

  /// @brief Records the ends of the leases of workers that do not answer, and withdraws the records
  /// of workers without runs. @param end_of gives the time at which a worker's leases have expired
  template <class EndOf>
  void Check(workload::SteadyTime now, EndOf end_of) {
    if (now - recorded_at_ < kInterval) {
      return;
    }
    Leases leases;
    if (now - core_.confirmed_at <= kMaxUnconfirmed) {
      for (const auto& [id, worker] : core_.workers) {
        if (worker.runs.empty() || !IsSilent(worker, now)) {
          continue;
        }
        const workload::SteadyTime ended_at = end_of(id);
        if (ended_at > now) {
          leases.emplace(id, workload::ExpiringLease{ended_at, worker.info.address});
        }
      }
    }
    if (!leases.empty()) {
      recorded_at_ = now;
      Record(leases);
    }
    WithdrawUnneeded();
  }

  /// @brief Withdraws the record of a worker, if there is one, and polls the worker once its lease
  /// may be extended again.
  void Withdraw(const std::string& id) {
    if (!core_.lease_ends.Contains(id) || !withdrawn_.insert(id).second) {
      return;
    }
    const workload::LeaseEndSet record{id, std::nullopt};
    core_.Append({record}, [this, record] {
      withdrawn_.erase(record.worker);
      core_.lease_ends.Apply(record, core_.port.Now());
      core_.poll_worker(record.worker);
    });
  }

 private:
  using Leases = workload::LeaseEnds::Leases;

  // Bounds how much later than at the last record the end is for an instance that starts then.
  static constexpr workload::Milliseconds kInterval{500};
  // Longer than the pause between heartbeats. A store that takes longer for an append might not
  // store the withdrawal in time.
  static constexpr workload::Milliseconds kMaxUnconfirmed{1'000};
  // Time in which a new owner reads the entries of the workers.
  static constexpr workload::Milliseconds kDirectoryReadTime{1'000};
  // A key of the store has at most 255 bytes, with its prefix.
  static constexpr std::size_t kMaxNameBytes = 250;

  // Whether a worker does not answer, or has no known address, and no withdrawal is in progress.
  [[nodiscard]] bool IsSilent(const workload::PoolWorker& worker, workload::SteadyTime now) const {
    const std::string& id = worker.info.id;
    const auto link = core_.links.find(id);
    const bool has_no_answer = link != core_.links.end() && link->second.failures > 0;
    const bool is_unknown = worker.info.address.empty() && now - began_at_ >= kDirectoryReadTime;
    return (has_no_answer || is_unknown) && !withdrawn_.contains(id) && id.size() <= kMaxNameBytes;
  }

  void Record(const Leases& leases) {
    const workload::SteadyTime now = core_.port.Now();
    typename OwnerCore<Platform, Port>::Records records;
    for (const auto& [id, lease] : leases) {
      const auto remaining =
          std::max(std::chrono::ceil<workload::Milliseconds>(lease.ended_at - now),
                   workload::Milliseconds(0));
      if (!core_.lease_ends.Contains(id)) {
        LogRecord(id, remaining);
      }
      const workload::LeaseEndSet record{id, workload::LeaseEnd{remaining, lease.address}};
      core_.lease_ends.Apply(record, now);
      records.push_back(record);
    }
    if (!records.empty()) {
      core_.Append(records, [] {});
    }
  }

  void LogRecord(const std::string& worker, workload::Milliseconds remaining) const {
    logging::LogEvent(logging::LogLevel::kInfo, "lease_end_recorded",
                      {{"worker", worker},
                       {"ends_in_ms", remaining.count()},
                       {"runs", core_.workers.at(worker).runs.size()},
                       {"epoch", core_.options.epoch}});
  }

  void WithdrawUnneeded() {
    std::vector<std::string> unneeded;
    for (const auto& [id, lease] : core_.lease_ends.leases()) {
      const auto worker = core_.workers.find(id);
      if (worker == core_.workers.end() || worker->second.runs.empty()) {
        unneeded.push_back(id);
      }
    }
    for (const std::string& it : unneeded) {
      Withdraw(it);
    }
  }

  OwnerCore<Platform, Port>& core_;
  const workload::SteadyTime began_at_;
  // Workers whose records are being withdrawn.
  std::set<std::string> withdrawn_;
  workload::SteadyTime recorded_at_;
};

}  // namespace clementineloom::entry
