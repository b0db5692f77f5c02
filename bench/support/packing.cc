#include "support/packing.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

namespace clementineloom::bench {
namespace {

// Steps after which a search is given up; searches of the deployments end well below it.
constexpr std::size_t kMaxSteps = 20'000;

class PackingSearch {
 public:
  explicit PackingSearch(std::vector<CellDemand> demands) : demands_(std::move(demands)) {
    // Demands with the least choice go first: bound ones, then the largest.
    std::ranges::stable_sort(demands_, [](const CellDemand& a, const CellDemand& b) {
      return std::pair(a.domain.has_value(), a.total()) >
             std::pair(b.domain.has_value(), b.total());
    });
  }

  PackingResult Run(const FreeMap& free) {
    if (PlaceFrom(0, free)) {
      return PackingResult::kFits;
    }
    return steps_ > kMaxSteps ? PackingResult::kUndecided : PackingResult::kDoesNotFit;
  }

 private:
  bool PlaceFrom(std::size_t n, const FreeMap& free) {
    if (n == demands_.size()) {
      return true;
    }
    const CellDemand& demand = demands_[n];
    if (demand.domain) {
      return TryDomain(n, free, *demand.domain);
    }
    std::set<std::vector<std::uint16_t>> tried;
    for (const std::uint32_t domain : free.Domains(demand.adjacency)) {
      // Domains that look alike lead to the same result.
      if (tried.insert(Profile(free, domain, demand.adjacency)).second &&
          TryDomain(n, free, domain)) {
        return true;
      }
    }
    return false;
  }

  bool TryDomain(std::size_t n, const FreeMap& free, std::uint32_t domain) {
    if (++steps_ > kMaxSteps) {
      return false;
    }
    const CellDemand& demand = demands_[n];
    FreeMap rest = free;
    return rest.Take(domain, demand.adjacency, demand.workers, demand.accelerators) &&
           PlaceFrom(n + 1, rest);
  }

  // Free accelerators of the whole rack of the domain: equal workers in unequal racks differ.
  static std::vector<std::uint16_t> Profile(const FreeMap& free, std::uint32_t domain,
                                            Adjacency adjacency) {
    std::vector<std::uint16_t> own;
    std::set<std::uint32_t> racks;
    for (const FreeMap::Row& it : free.rows()) {
      if (FreeMap::DomainOf(it, adjacency) == domain) {
        own.push_back(it.free);
        racks.insert(it.rack);
      }
    }
    std::ranges::sort(own);
    std::vector<std::uint16_t> around;
    for (const FreeMap::Row& it : free.rows()) {
      if (racks.contains(it.rack)) {
        around.push_back(it.free);
      }
    }
    std::ranges::sort(around);
    own.insert(own.end(), around.begin(), around.end());
    return own;
  }

  std::vector<CellDemand> demands_;
  std::size_t steps_ = 0;
};

}  // namespace

PackingResult Pack(const FreeMap& free, std::vector<CellDemand> demands) {
  return PackingSearch(std::move(demands)).Run(free);
}

}  // namespace clementineloom::bench
