#include "support/packing.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

namespace clementineloom::bench {
namespace {

// Limit after which a search stops undecided; searches of the deployments end well below it.
constexpr std::size_t kMaxSteps = 20'000;

class PackingSearch {
 public:
  explicit PackingSearch(std::vector<CellDemand> demands) : demands_(std::move(demands)) {
    // The most constrained demands go first: those with a required domain, then the largest.
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
      // Domains with equal profiles lead to the same result.
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
    FreeMap remaining = free;
    return remaining.Take(domain, demand.adjacency, demand.workers, demand.accelerators) &&
           PlaceFrom(n + 1, remaining);
  }

  // Free accelerators in the domain and in its racks: equal workers in unequal racks are not
  // interchangeable.
  static std::vector<std::uint16_t> Profile(const FreeMap& free, std::uint32_t domain,
                                            Adjacency adjacency) {
    std::vector<std::uint16_t> domain_free;
    std::set<std::uint32_t> racks;
    for (const FreeMap::Row& it : free.rows()) {
      if (FreeMap::DomainOf(it, adjacency) == domain) {
        domain_free.push_back(it.free);
        racks.insert(it.rack);
      }
    }
    std::ranges::sort(domain_free);
    std::vector<std::uint16_t> rack_free;
    for (const FreeMap::Row& it : free.rows()) {
      if (racks.contains(it.rack)) {
        rack_free.push_back(it.free);
      }
    }
    std::ranges::sort(rack_free);
    domain_free.insert(domain_free.end(), rack_free.begin(), rack_free.end());
    return domain_free;
  }

  std::vector<CellDemand> demands_;
  std::size_t steps_ = 0;
};

}  // namespace

PackingResult Pack(const FreeMap& free, std::vector<CellDemand> demands) {
  return PackingSearch(std::move(demands)).Run(free);
}

}  // namespace clementineloom::bench
