#include "clementineloom/state/change_journal.h"

namespace clementineloom {

ChangeJournal& ChangeJournal::operator=(const ChangeJournal& other) {
  if (this != &other) {
    *this = ChangeJournal();
  }
  return *this;
}

void ChangeJournal::Add(StateChange change) {
  changes_.push_back(change);
  if (changes_.size() > kChangesKept) {
    changes_.pop_front();
    ++first_;
  }
}

}  // namespace clementineloom
