#include "decisions/ledger_records.h"

#include <utility>

namespace sassafras::ledger_records {

namespace {

// The new backup starts with nothing: every record has to be sent to it.
void StartCatchUp(Ledger::Shard& shard) {
  shard.unacknowledged.clear();
  shard.catch_up.clear();
  for (auto& [key, slot] : shard.slots) {
    slot.acknowledged = 0;
    slot.replicated_at = Time();
    shard.unacknowledged.insert(key);
    shard.catch_up.insert(key);
  }
}

}  // namespace

const ShardView* ViewOf(const LedgerContext& ctx, int shard) {
  if (!ctx.views || shard < 0 ||
      static_cast<size_t>(shard) >= ctx.views->shards.size()) {
    return nullptr;
  }
  return &ctx.views->shards[static_cast<size_t>(shard)];
}

bool IsHolder(const ShardView& view, const HostId& host) {
  return view.primary == host || view.backup == host;
}

void Forget(Ledger& ledger, Ledger::Shard& shard, const RequestKey& key) {
  const auto it = shard.slots.find(key);
  if (it == shard.slots.end())
    return;
  ledger.answer_bytes -= it->second.record.answer.body.size();
  --ledger.record_count;
  shard.slots.erase(it);
  shard.unacknowledged.erase(key);
  shard.catch_up.erase(key);
  shard.waited.erase(key);
}

void ForgetAll(Ledger& ledger, Ledger::Shard& shard) {
  for (const auto& [key, slot] : shard.slots)
    ledger.answer_bytes -= slot.record.answer.body.size();
  ledger.record_count -= shard.slots.size();
  shard.slots.clear();
  shard.unacknowledged.clear();
  shard.catch_up.clear();
  shard.waited.clear();
  shard.expiries.clear();
}

Ledger::Shard& ShardInView(Ledger& ledger,
                           const LedgerContext& ctx,
                           int number,
                           const ShardView& view) {
  Ledger::Shard& shard = ledger.shards[number];
  if (shard.view == view.number)
    return shard;
  if (shard.generation != view.generation) {
    ForgetAll(ledger, shard);
    shard.generation = view.generation;
    shard.generation_seen = ctx.now;
  }
  shard.view = view.number;
  StartCatchUp(shard);
  return shard;
}

Ledger::Slot& Put(Ledger& ledger,
                  Ledger::Shard& shard,
                  const KeyRecord& record,
                  Time now) {
  const auto [it, added] = shard.slots.try_emplace(record.key);
  Ledger::Slot& slot = it->second;
  if (added)
    ++ledger.record_count;
  ledger.answer_bytes -= slot.record.answer.body.size();
  ledger.answer_bytes += record.answer.body.size();
  slot.record = record;
  slot.view = shard.view;
  slot.changed = now;
  if (added)
    shard.expiries.push_back({now + ledger.limits.retention, record.key});
  return slot;
}

void DropExpired(Ledger& ledger, Ledger::Shard& shard, Time now) {
  while (!shard.expiries.empty() && shard.expiries.front().at <= now) {
    const Ledger::Expiry expiry = std::move(shard.expiries.front());
    shard.expiries.pop_front();
    const auto it = shard.slots.find(expiry.key);
    if (it == shard.slots.end())
      continue;
    const Time end = it->second.changed + ledger.limits.retention;
    if (end > now)
      shard.expiries.push_back({end, expiry.key});
    else
      Forget(ledger, shard, expiry.key);
  }
}

}  // namespace sassafras::ledger_records
