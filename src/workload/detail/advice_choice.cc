#include "clementineloom/workload/detail/advice_choice.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include "clementineloom/workload/detail/room_choice.h"

namespace clementineloom::workload::detail {
namespace {

// Most workers in a question: enough to find room; each costs the service time. A gang that needs
// more asks about as many as the service accepts.
constexpr std::size_t kMaxWorkers = 30;
constexpr std::size_t kMaxWorkersForGang = 100;
// Fewest workers in a question, since some may not be approved.
constexpr std::size_t kMinWorkers = 4;
// Tasks for which the workers of a question have room, for each task that waits: some may not be
// approved.
constexpr std::int64_t kRoomPerTask = 2;
// Time within which a question is answered where the times of the queue allow it: a third of the
// time for which a job may stand still beside free room, since other steps may ask before it.
constexpr Milliseconds kAnswerLimit{1'000};
// The same for a gang, which needs all its answers before it begins.
constexpr Milliseconds kGangAnswerLimit{2'000};
// Within this time a question names all workers that it may.
constexpr Milliseconds kShortAnswer{300};

// A worker that a question may name. Lower is better.
struct AskableWorker {
  const WorkerRoom* room = nullptr;
  // What is free there, or what can be made free.
  Resources room_left{};
  bool needs_stops = false;
  bool is_kept_for_urgent = false;
  bool is_far_from_data = false;
  bool is_on_too_small_rack = false;
  std::string_view rack{};
  RoomRank rank{};

  [[nodiscard]] auto Cost() const {
    return std::tuple(needs_stops, is_kept_for_urgent, is_far_from_data, is_on_too_small_rack, rack,
                      rank);
  }
};

class AdviceChoice {
 public:
  AdviceChoice(const StartCandidate& step, const PlanRequest& request, const RoomTable& rooms,
               bool may_stop_runs)
      : step_(step),
        request_(request),
        rooms_(rooms),
        may_stop_runs_(may_stop_runs),
        large_racks_(WantsOneRack() ? LargeRacks() : std::set<std::string_view>()),
        askable_(Askable()) {}

  [[nodiscard]] std::vector<std::string> Workers() const {
    std::vector<std::string> workers;
    const std::size_t size = Size();
    for (auto it = askable_.begin(); it != askable_.end() && workers.size() < size; ++it) {
      workers.push_back(it->room->worker->info.id);
    }
    return workers;
  }

 private:
  [[nodiscard]] bool WantsOneRack() const {
    return step_.spec().is_gang && step_.spec().prefers_one_rack;
  }

  [[nodiscard]] std::vector<AskableWorker> Askable() const {
    std::vector<AskableWorker> askable;
    for (const WorkerRoom* it : rooms_.On({})) {
      const std::string& id = it->worker->info.id;
      if (FitCount(*it, RoomLeft(*it), step_) > 0 && IsEligible(*it->worker, step_) &&
          !request_.advice.WasAsked(step_.step, id)) {
        askable.push_back(Rated(*it));
      }
    }
    std::stable_sort(askable.begin(), askable.end(),
                     [](const auto& a, const auto& b) { return a.Cost() < b.Cost(); });
    return askable;
  }

  // Room is made for a step only on workers that are approved.
  [[nodiscard]] Resources RoomLeft(const WorkerRoom& room) const {
    return may_stop_runs_ && !HasRoom(room, step_) ? room.FreeableFor(step_) : room.free;
  }

  [[nodiscard]] AskableWorker Rated(const WorkerRoom& room) const {
    const StepSpec& spec = step_.spec();
    const std::string& rack = room.worker->info.rack;
    AskableWorker worker{&room, RoomLeft(room), !HasRoom(room, step_)};
    worker.is_kept_for_urgent = room.is_reserved && !MayUseReserve(step_);
    worker.is_far_from_data = !spec.data_rack.empty() && rack != spec.data_rack;
    if (WantsOneRack()) {
      worker.is_on_too_small_rack = !large_racks_.contains(rack);
      worker.rack = rack;
    }
    worker.rank = RankOf(room, step_);
    return worker;
  }

  // The racks with room for all tasks.
  [[nodiscard]] std::set<std::string_view> LargeRacks() const {
    std::set<std::string_view> large;
    for (const auto& [name, rack] : rooms_.racks()) {
      std::int64_t fitting = 0;
      for (const WorkerRoom* it : rack.rooms) {
        fitting += IsEligible(*it->worker, step_) ? FitCount(*it, it->free, step_) : 0;
      }
      if (fitting >= static_cast<std::int64_t>(step_.task_indexes.size())) {
        large.insert(name);
      }
    }
    return large;
  }

  [[nodiscard]] std::size_t Size() const {
    const bool is_gang = step_.spec().is_gang;
    const AdviceTimes& times = step_.job->submission->queue.advice_times;
    const std::size_t most = is_gang ? kMaxWorkersForGang : kMaxWorkers;
    const std::size_t in_time =
        times.WorkersWithin(is_gang ? kGangAnswerLimit : kAnswerLimit, most);
    const std::size_t least = std::max(kMinWorkers, is_gang ? WorkersForTasks(1) : 0);
    // As many as were asked about without success, so that few questions find rare approvals.
    const std::size_t wanted =
        std::max({WorkersForTasks(kRoomPerTask), request_.advice.AskedCount(step_.step),
                  times.WorkersWithin(kShortAnswer, most)});
    return std::min(most, std::max(least, std::min(wanted, in_time)));
  }

  // Number of workers with room for all tasks several times over; all if that is less.
  [[nodiscard]] std::size_t WorkersForTasks(std::int64_t times_over) const {
    std::int64_t tasks = times_over * static_cast<std::int64_t>(step_.task_indexes.size());
    std::size_t workers = 0;
    for (auto it = askable_.begin(); it != askable_.end() && tasks > 0; ++it, ++workers) {
      tasks -= FitCount(*it->room, it->room_left, step_);
    }
    return workers;
  }

  const StartCandidate& step_;
  const PlanRequest& request_;
  const RoomTable& rooms_;
  const bool may_stop_runs_;
  const std::set<std::string_view> large_racks_;
  const std::vector<AskableWorker> askable_;
};

}  // namespace

std::vector<std::string> ChooseWorkersToAskAbout(const StartCandidate& step,
                                                 const PlanRequest& request, const RoomTable& rooms,
                                                 bool may_stop_runs) {
  return AdviceChoice(step, request, rooms, may_stop_runs).Workers();
}

}  // namespace clementineloom::workload::detail
