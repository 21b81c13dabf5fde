#include "decisions/ledger_records.h"

#include <utility>

namespace sassafras::ledger_records {

namespace {

// Marks every record to be sent to the new backup, which may have none.
void StartCatchUp(Ledger::Shard& shard) {
  shard.unacknowledged.clear();
  shard.catch_up.clear();
  for (auto& [key, entry] : shard.entries) {
    entry.acknowledged = 0;
    entry.replicated_at = Time();
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

void EraseRecord(Ledger& ledger, Ledger::Shard& shard, const RequestKey& key) {
  const auto it = shard.entries.find(key);
  if (it == shard.entries.end())
    return;
  ledger.answer_bytes -= it->second.record.answer.body.size();
  --ledger.record_count;
  shard.entries.erase(it);
  shard.unacknowledged.erase(key);
  shard.catch_up.erase(key);
  shard.keys_with_waiters.erase(key);
}

void EraseAllRecords(Ledger& ledger, Ledger::Shard& shard) {
  for (const auto& [key, entry] : shard.entries)
    ledger.answer_bytes -= entry.record.answer.body.size();
  ledger.record_count -= shard.entries.size();
  shard.entries.clear();
  shard.unacknowledged.clear();
  shard.catch_up.clear();
  shard.keys_with_waiters.clear();
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
    EraseAllRecords(ledger, shard);
    shard.generation = view.generation;
    shard.generation_seen = ctx.now;
  }
  shard.view = view.number;
  StartCatchUp(shard);
  return shard;
}

Ledger::Entry& PutRecord(Ledger& ledger,
                         Ledger::Shard& shard,
                         const KeyRecord& record,
                         Time now) {
  const auto [it, added] = shard.entries.try_emplace(record.key);
  Ledger::Entry& entry = it->second;
  if (added)
    ++ledger.record_count;
  ledger.answer_bytes -= entry.record.answer.body.size();
  ledger.answer_bytes += record.answer.body.size();
  entry.record = record;
  entry.view = shard.view;
  entry.changed = now;
  if (added)
    shard.expiries.push_back({now + ledger.limits.retention, record.key});
  return entry;
}

void DropExpired(Ledger& ledger, Ledger::Shard& shard, Time now) {
  while (!shard.expiries.empty() && shard.expiries.front().at <= now) {
    const Ledger::Expiry expiry = std::move(shard.expiries.front());
    shard.expiries.pop_front();
    const auto it = shard.entries.find(expiry.key);
    if (it == shard.entries.end())
      continue;
    const Time end = it->second.changed + ledger.limits.retention;
    if (end > now)
      shard.expiries.push_back({end, expiry.key});
    else
      EraseRecord(ledger, shard, expiry.key);
  }
}

}  // namespace sassafras::ledger_records
