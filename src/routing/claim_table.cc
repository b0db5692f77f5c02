#include "clementineloom/routing/claim_table.h"

#include <utility>
#include <variant>

namespace clementineloom {
namespace {

std::size_t SizeOf(const StoredAnswer& answer) {
  std::size_t size = answer.body.size();
  for (const AnswerHeader& it : answer.headers) {
    size += it.name.size() + it.value.size();
  }
  return size;
}

}  // namespace

void ClaimTable::Apply(const ClaimRecord& record, MonotonicTime now) {
  std::visit([&](const auto& body) { ApplyBody(body, now); }, record);
}

const ClaimEntry* ClaimTable::Find(const ClaimKey& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

void ClaimTable::ApplyBody(const RequestClaimed& body, MonotonicTime now) {
  if (entries_.contains(body.key)) {
    return;
  }
  entries_.emplace(body.key, ClaimEntry{body.id, body.digest, body.gateway, now, {}, {}});
  keys_.insert_or_assign(body.id, body.key);
  claim_order_.push_back(body.id);
  while (claim_order_.size() > limits_.claims) {
    Erase(claim_order_.front());
    claim_order_.pop_front();
  }
}

void ClaimTable::ApplyBody(const RequestCompleted& body, MonotonicTime /*now*/) {
  ClaimEntry* entry = FindClaim(body.claim);
  if (entry == nullptr || entry->run_state) {
    return;
  }
  entry->run_state = body.run_state;
  if (!body.answer) {
    return;
  }
  entry->answer = body.answer;
  answer_bytes_ += SizeOf(*body.answer);
  answer_order_.push_back(body.claim);
  while (answer_bytes_ > limits_.answer_bytes) {
    DropAnswer(answer_order_.front());
    answer_order_.pop_front();
  }
}

void ClaimTable::ApplyBody(const RequestReleased& body, MonotonicTime /*now*/) {
  const ClaimEntry* entry = FindClaim(body.claim);
  if (entry != nullptr && !entry->run_state) {
    Erase(body.claim);
  }
}

ClaimEntry* ClaimTable::FindClaim(const std::string& claim) {
  const auto it = keys_.find(claim);
  return it == keys_.end() ? nullptr : &entries_.find(it->second)->second;
}

void ClaimTable::Erase(const std::string& claim) {
  DropAnswer(claim);
  if (const auto node = keys_.extract(claim)) {
    entries_.erase(node.mapped());
  }
}

void ClaimTable::DropAnswer(const std::string& claim) {
  ClaimEntry* entry = FindClaim(claim);
  if (entry != nullptr && entry->answer) {
    answer_bytes_ -= SizeOf(*entry->answer);
    entry->answer.reset();
  }
}

}  // namespace clementineloom
