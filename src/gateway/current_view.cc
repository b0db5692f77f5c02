#include "gateway/current_view.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "clementineloom/routing/routing_view_of.h"
#include "gateway/metric_names.h"

namespace clementineloom::gateway {

void CurrentView::Update(ViewUpdate update) {
  control_ = std::move(update.view);
  fresh_at_ = update.fresh_at;
  Use();
}

void CurrentView::Confirm(const ViewConfirmed& confirmed) {
  fresh_at_ = std::max(fresh_at_, confirmed.fresh_at);
}

void CurrentView::LimitTo(std::shared_ptr<const ListedWorkers> listed) {
  listed_ = std::move(listed);
  Use();
}

void CurrentView::Use() {
  RoutingView view = listed_ ? LimitToListed(*control_, *listed_) : *control_;
  std::unordered_set<WorkerId> present;
  for (const Upstream& it : routing_.upstreams()) {
    present.insert(it.worker);
  }
  for (const Upstream& it : view.upstreams()) {
    if (present.erase(it.worker) == 0) {
      outstanding_.Joined(it.worker);
    }
  }
  std::ranges::for_each(present, [this](WorkerId it) { outstanding_.Left(it); });
  routing_ = std::move(view);
  metrics_.Set(kUpstreams, static_cast<double>(routing_.upstreams().size()));
}

}  // namespace clementineloom::gateway
