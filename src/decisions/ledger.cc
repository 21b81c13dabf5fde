#include "decisions/ledger.h"

#include <algorithm>
#include <utility>

#include "decisions/ledger_records.h"

namespace sassafras {

namespace {

using ledger_records::DropExpired;
using ledger_records::EraseAllRecords;
using ledger_records::EraseRecord;
using ledger_records::IsHolder;
using ledger_records::PutRecord;
using ledger_records::ShardInView;
using ledger_records::ViewOf;

// Generation of a shard that has never lost its records.
constexpr Generation kFirstGeneration{1};
constexpr size_t kMaxWaiters = 32;

Envelope Refuse(const HostId& to,
                ExchangeId exchange,
                KeyVerdict verdict,
                bool not_run = false) {
  return {to, KeyRefusal{exchange, verdict, not_run}};
}

Envelope Completed(const HostId& to, ExchangeId exchange, bool not_run) {
  return {to, KeyCompleted{exchange, not_run}};
}

Envelope Replicate(const LedgerContext& ctx,
                   int number,
                   const ShardView& view,
                   Ledger::Shard& shard,
                   Ledger::Entry& entry) {
  entry.replicated_at = ctx.now;
  shard.unacknowledged.insert(entry.record.key);
  KeyReplicate batch;
  batch.region = ctx.views->region;
  batch.shard = number;
  batch.view = view.number;
  batch.records = {entry.record};
  return {view.backup, std::move(batch)};
}

// Whether a key without a record on this holder cannot have run.
bool CanProveNotRun(const LedgerContext& ctx, const ShardView& view) {
  if (!ctx.hears_majority)
    return false;
  return view.primary == ctx.self || view.backup_synced;
}

bool IsGenerationLost(const Ledger& ledger,
                      const LedgerContext& ctx,
                      const ShardView& view,
                      const Ledger::Shard& shard,
                      const KeyHome& home) {
  if (home.minted)
    return *home.minted < view.generation;
  return view.generation > kFirstGeneration &&
         ctx.now - shard.generation_seen < ledger.limits.retention;
}

void Start(Ledger& ledger,
           const LedgerContext& ctx,
           int number,
           const ShardView& view,
           Ledger::Shard& shard,
           KeyRecord record,
           std::vector<Envelope>& out) {
  record.state = RecordState::kStarted;
  record.answer_kept = false;
  record.answer = {};
  ++record.revision;
  Ledger::Entry& entry = PutRecord(ledger, shard, record, ctx.now);
  entry.grant_may_be_sent = false;
  out.push_back(Replicate(ctx, number, view, shard, entry));
}

void AnswerWaiters(Ledger::Shard& shard,
                   Ledger::Entry& entry,
                   std::vector<Envelope>& out) {
  const KeyRecord& record = entry.record;
  for (const Ledger::Waiter& it : entry.waiters) {
    if (record.state == RecordState::kUnknown)
      out.push_back(Refuse(it.host, it.exchange, KeyVerdict::kUnknown));
    else if (record.answer_kept)
      out.push_back({it.host, KeyAnswer{it.exchange, record.answer}});
    else
      out.push_back(Refuse(it.host, it.exchange, KeyVerdict::kAnswerNotKept));
  }
  entry.waiters.clear();
  shard.keys_with_waiters.erase(record.key);
}

void EndRecord(Ledger& ledger,
               const LedgerContext& ctx,
               int number,
               const ShardView& view,
               Ledger::Shard& shard,
               KeyRecord record,
               std::vector<Envelope>& out) {
  ++record.revision;
  Ledger::Entry& entry = PutRecord(ledger, shard, record, ctx.now);
  out.push_back(Replicate(ctx, number, view, shard, entry));
  AnswerWaiters(shard, entry, out);
}

// Marks a started record as unknown if its owner's process is dead: the
// request may have run. Returns whether the record was changed.
bool EndIfOwnerDied(Ledger& ledger,
                    const LedgerContext& ctx,
                    int number,
                    const ShardView& view,
                    Ledger::Shard& shard,
                    Ledger::Entry& entry,
                    std::vector<Envelope>& out) {
  if (entry.record.state != RecordState::kStarted)
    return false;
  if (ctx.is_owner_alive(entry.record.owner, entry.record.exchange))
    return false;
  KeyRecord record = entry.record;
  record.state = RecordState::kUnknown;
  EndRecord(ledger, ctx, number, view, shard, std::move(record), out);
  return true;
}

void BeginStarted(Ledger& ledger,
                  const LedgerContext& ctx,
                  const HostId& from,
                  const KeyBegin& begin,
                  const ShardView& view,
                  Ledger::Shard& shard,
                  Ledger::Entry& entry,
                  std::vector<Envelope>& out) {
  const int number = begin.home.shard;
  const bool is_primary = view.primary == ctx.self;
  if (entry.record.exchange == begin.exchange && entry.record.owner == from) {
    if (!is_primary)
      out.push_back(Refuse(from, begin.exchange, KeyVerdict::kInProgress));
    else if (entry.acknowledged == entry.record.revision)
      out.push_back({from, KeyGrant{begin.exchange, begin.home, begin.key}});
    else
      out.push_back(Replicate(ctx, number, view, shard, entry));
    return;
  }
  if (!is_primary) {
    out.push_back(Refuse(from, begin.exchange, KeyVerdict::kInProgress));
    return;
  }
  if (EndIfOwnerDied(ledger, ctx, number, view, shard, entry, out)) {
    out.push_back(Refuse(from, begin.exchange, KeyVerdict::kUnknown));
    return;
  }
  const bool waits =
      std::any_of(entry.waiters.begin(), entry.waiters.end(),
                  [&](const Ledger::Waiter& it) {
                    return it.host == from && it.exchange == begin.exchange;
                  });
  if (waits)
    return;
  if (entry.waiters.size() >= kMaxWaiters) {
    out.push_back(Refuse(from, begin.exchange, KeyVerdict::kInProgress));
    return;
  }
  entry.waiters.push_back({from, begin.exchange});
  shard.keys_with_waiters.insert(begin.key);
}

void BeginExisting(Ledger& ledger,
                   const LedgerContext& ctx,
                   const HostId& from,
                   const KeyBegin& begin,
                   const ShardView& view,
                   Ledger::Shard& shard,
                   Ledger::Entry& entry,
                   std::vector<Envelope>& out) {
  const KeyRecord& record = entry.record;
  if (record.body != begin.body) {
    out.push_back(Refuse(from, begin.exchange, KeyVerdict::kBodyDiffers));
    return;
  }
  switch (record.state) {
    case RecordState::kFinished:
      if (record.answer_kept)
        out.push_back({from, KeyAnswer{begin.exchange, record.answer}});
      else
        out.push_back(Refuse(from, begin.exchange, KeyVerdict::kAnswerNotKept));
      return;
    case RecordState::kUnknown:
      out.push_back(Refuse(from, begin.exchange, KeyVerdict::kUnknown));
      return;
    case RecordState::kStarted:
      BeginStarted(ledger, ctx, from, begin, view, shard, entry, out);
      return;
    case RecordState::kWithdrawn:
      return;
  }
}

void BeginNewRecord(Ledger& ledger,
                    const LedgerContext& ctx,
                    const HostId& from,
                    const KeyBegin& begin,
                    const ShardView& view,
                    Ledger::Shard& shard,
                    uint64_t revision,
                    std::vector<Envelope>& out) {
  const bool not_run = CanProveNotRun(ctx, view);
  const bool has_backup = !view.backup.empty() && ctx.is_answering(view.backup);
  if (view.primary != ctx.self || !has_backup) {
    out.push_back(Refuse(from, begin.exchange, KeyVerdict::kNoBackup, not_run));
    return;
  }
  if (ledger.record_count >= ledger.limits.max_records) {
    out.push_back(Refuse(from, begin.exchange, KeyVerdict::kFull, not_run));
    return;
  }
  KeyRecord record;
  record.key = begin.key;
  record.body = begin.body;
  record.owner = from;
  record.exchange = begin.exchange;
  record.revision = revision;
  Start(ledger, ctx, begin.home.shard, view, shard, std::move(record), out);
}

// Starts a withdrawn key again for its oldest waiter.
void PromoteWaiter(Ledger& ledger,
                   const LedgerContext& ctx,
                   int number,
                   const ShardView& view,
                   Ledger::Shard& shard,
                   Ledger::Entry& entry,
                   std::vector<Envelope>& out) {
  const Ledger::Waiter next = entry.waiters.front();
  entry.waiters.erase(entry.waiters.begin());
  if (entry.waiters.empty())
    shard.keys_with_waiters.erase(entry.record.key);
  KeyRecord record = entry.record;
  record.owner = next.host;
  record.exchange = next.exchange;
  Start(ledger, ctx, number, view, shard, std::move(record), out);
}

void Withdraw(Ledger& ledger,
              const LedgerContext& ctx,
              const HostId& from,
              const KeyComplete& complete,
              const ShardView& view,
              Ledger::Shard& shard,
              std::vector<Envelope>& out) {
  const auto it = shard.entries.find(complete.key);
  if (it == shard.entries.end()) {
    out.push_back(
        Completed(from, complete.exchange, CanProveNotRun(ctx, view)));
    return;
  }
  Ledger::Entry& entry = it->second;
  if (entry.record.exchange != complete.exchange ||
      entry.record.owner != from) {
    auto& waiters = entry.waiters;
    waiters.erase(std::remove_if(waiters.begin(), waiters.end(),
                                 [&](const Ledger::Waiter& w) {
                                   return w.host == from &&
                                          w.exchange == complete.exchange;
                                 }),
                  waiters.end());
    out.push_back(Completed(from, complete.exchange, false));
    return;
  }
  if (entry.record.state == RecordState::kWithdrawn)
    return;  // Confirmed by OnAcknowledged() after the backup's reply.
  if (entry.record.state != RecordState::kStarted) {
    out.push_back(Completed(from, complete.exchange, false));
    return;
  }
  if (!entry.waiters.empty()) {
    out.push_back(Completed(from, complete.exchange, true));
    PromoteWaiter(ledger, ctx, complete.home.shard, view, shard, entry, out);
    return;
  }
  KeyRecord record = entry.record;
  record.state = RecordState::kWithdrawn;
  EndRecord(ledger, ctx, complete.home.shard, view, shard, std::move(record),
            out);
}

void KeepAnswer(const Ledger& ledger,
                const KeyComplete& complete,
                KeyRecord& record) {
  const uint64_t size = complete.answer.body.size();
  const bool fits =
      size <= ledger.limits.max_answer_size &&
      ledger.answer_bytes + size <= ledger.limits.max_answer_bytes;
  record.answer_kept = complete.answer_kept && fits;
  record.answer = record.answer_kept ? complete.answer : StoredAnswer{};
}

// Sends what was waiting for the backup to acknowledge the newest revision of
// a record: the owner's grant, or the confirmation of an outcome.
void OnAcknowledged(Ledger& ledger,
                    Ledger::Shard& shard,
                    const KeyHome& home,
                    Ledger::Entry& entry,
                    std::vector<Envelope>& out) {
  const KeyRecord& record = entry.record;
  switch (record.state) {
    case RecordState::kStarted:
      entry.grant_may_be_sent = true;
      out.push_back(
          {record.owner, KeyGrant{record.exchange, home, record.key}});
      return;
    case RecordState::kFinished:
    case RecordState::kUnknown:
      out.push_back(Completed(record.owner, record.exchange, false));
      return;
    case RecordState::kWithdrawn:
      out.push_back(Completed(record.owner, record.exchange, true));
      EraseRecord(ledger, shard, RequestKey(record.key));
      return;
  }
}

// Drops started records that the backup refused because it has another view.
// Their owners cannot have been granted a dispatch, so nothing has run.
void DropUngrantedRecords(Ledger& ledger,
                          Ledger::Shard& shard,
                          const KeyReplicated& reply,
                          std::vector<Envelope>& out) {
  for (const RecordRevision& it : reply.records) {
    const auto found = shard.entries.find(it.key);
    if (found == shard.entries.end())
      continue;
    const Ledger::Entry& entry = found->second;
    if (entry.record.state != RecordState::kStarted || entry.grant_may_be_sent)
      continue;
    out.push_back(Refuse(entry.record.owner, entry.record.exchange,
                         KeyVerdict::kNotHolder));
    EraseRecord(ledger, shard, it.key);
  }
}

void ResendReplication(Ledger& ledger,
                       const LedgerContext& ctx,
                       int number,
                       const ShardView& view,
                       Ledger::Shard& shard,
                       std::vector<Envelope>& out) {
  if (view.backup.empty() || shard.unacknowledged.empty())
    return;
  KeyReplicate batch;
  batch.region = ledger.region;
  batch.shard = number;
  batch.view = view.number;
  for (const RequestKey& key : shard.unacknowledged) {
    if (batch.records.size() >= ledger.limits.max_batch_records)
      break;
    Ledger::Entry& entry = shard.entries.at(key);
    if (ctx.now - entry.replicated_at < ledger.limits.replication_resend_after)
      continue;
    entry.replicated_at = ctx.now;
    batch.records.push_back(entry.record);
  }
  if (!batch.records.empty())
    out.push_back({view.backup, std::move(batch)});
}

void EndRecordsOfDeadOwners(Ledger& ledger,
                            const LedgerContext& ctx,
                            int number,
                            const ShardView& view,
                            Ledger::Shard& shard,
                            std::vector<Envelope>& out) {
  const std::vector<RequestKey> keys_with_waiters(
      shard.keys_with_waiters.begin(), shard.keys_with_waiters.end());
  for (const RequestKey& key : keys_with_waiters) {
    Ledger::Entry& entry = shard.entries.at(key);
    EndIfOwnerDied(ledger, ctx, number, view, shard, entry, out);
  }
}

}  // namespace

std::vector<Envelope> OnKeyBegin(Ledger& ledger,
                                 const LedgerContext& ctx,
                                 const HostId& from,
                                 const KeyBegin& begin) {
  std::vector<Envelope> out;
  const ShardView* view = ViewOf(ctx, begin.home.shard);
  if (begin.home.region != ledger.region || !view ||
      !IsHolder(*view, ctx.self) ||
      (begin.home.minted && *begin.home.minted > view->generation)) {
    out.push_back(Refuse(from, begin.exchange, KeyVerdict::kNotHolder));
    return out;
  }
  Ledger::Shard& shard = ShardInView(ledger, ctx, begin.home.shard, *view);
  if (IsGenerationLost(ledger, ctx, *view, shard, begin.home)) {
    out.push_back(Refuse(from, begin.exchange, KeyVerdict::kUnknown));
    return out;
  }
  const auto it = shard.entries.find(begin.key);
  if (it == shard.entries.end()) {
    BeginNewRecord(ledger, ctx, from, begin, *view, shard, 0, out);
  } else if (it->second.record.state == RecordState::kWithdrawn) {
    const uint64_t revision = it->second.record.revision;
    BeginNewRecord(ledger, ctx, from, begin, *view, shard, revision, out);
  } else {
    BeginExisting(ledger, ctx, from, begin, *view, shard, it->second, out);
  }
  return out;
}

std::vector<Envelope> OnKeyComplete(Ledger& ledger,
                                    const LedgerContext& ctx,
                                    const HostId& from,
                                    const KeyComplete& complete) {
  std::vector<Envelope> out;
  const ShardView* view = ViewOf(ctx, complete.home.shard);
  if (complete.home.region != ledger.region || !view ||
      view->primary != ctx.self) {
    return out;
  }
  Ledger::Shard& shard = ShardInView(ledger, ctx, complete.home.shard, *view);
  if (complete.state == RecordState::kWithdrawn) {
    Withdraw(ledger, ctx, from, complete, *view, shard, out);
    return out;
  }
  const auto it = shard.entries.find(complete.key);
  if (it == shard.entries.end() ||
      it->second.record.exchange != complete.exchange) {
    out.push_back(Completed(from, complete.exchange, false));
    return out;
  }
  Ledger::Entry& entry = it->second;
  const bool is_ended = entry.record.state == RecordState::kFinished;
  if (is_ended) {
    if (entry.acknowledged == entry.record.revision)
      out.push_back(Completed(from, complete.exchange, false));
    return out;
  }
  KeyRecord record = entry.record;
  record.state = complete.state;
  KeepAnswer(ledger, complete, record);
  EndRecord(ledger, ctx, complete.home.shard, *view, shard, std::move(record),
            out);
  return out;
}

std::vector<Envelope> OnKeyReplicate(Ledger& ledger,
                                     const LedgerContext& ctx,
                                     const HostId& from,
                                     const KeyReplicate& batch) {
  const ShardView* view = ViewOf(ctx, batch.shard);
  if (batch.region != ledger.region || !view || view->number < batch.view)
    return {};
  KeyReplicated reply;
  reply.region = batch.region;
  reply.shard = batch.shard;
  reply.view = batch.view;
  reply.refused = view->number != batch.view || view->primary != from ||
                  view->backup != ctx.self;
  for (const KeyRecord& it : batch.records)
    reply.records.push_back({it.key, it.revision});
  if (reply.refused)
    return {{from, std::move(reply)}};
  Ledger::Shard& shard = ShardInView(ledger, ctx, batch.shard, *view);
  for (const KeyRecord& it : batch.records) {
    if (it.state == RecordState::kWithdrawn) {
      EraseRecord(ledger, shard, it.key);
      continue;
    }
    // Within a view, the higher revision is the newer one. A record of an older
    // view is replaced by the primary's record regardless of its revision,
    // because it may never have been acknowledged.
    const auto held = shard.entries.find(it.key);
    if (held != shard.entries.end() && held->second.view == shard.view &&
        held->second.record.revision >= it.revision) {
      continue;
    }
    PutRecord(ledger, shard, it, ctx.now).grant_may_be_sent = true;
  }
  return {{from, std::move(reply)}};
}

std::vector<Envelope> OnKeyReplicated(Ledger& ledger,
                                      const LedgerContext& ctx,
                                      const HostId& from,
                                      const KeyReplicated& reply) {
  std::vector<Envelope> out;
  const ShardView* view = ViewOf(ctx, reply.shard);
  if (reply.region != ledger.region || !view || view->primary != ctx.self)
    return out;
  Ledger::Shard& shard = ShardInView(ledger, ctx, reply.shard, *view);
  if (reply.view != view->number || from != view->backup)
    return out;
  if (reply.refused) {
    DropUngrantedRecords(ledger, shard, reply, out);
    return out;
  }
  KeyHome home;
  home.region = reply.region;
  home.shard = reply.shard;
  home.minted = view->generation;
  for (const RecordRevision& it : reply.records) {
    const auto found = shard.entries.find(it.key);
    if (found == shard.entries.end())
      continue;
    Ledger::Entry& entry = found->second;
    if (it.revision <= entry.acknowledged ||
        it.revision != entry.record.revision) {
      continue;
    }
    entry.acknowledged = it.revision;
    shard.unacknowledged.erase(it.key);
    shard.catch_up.erase(it.key);
    OnAcknowledged(ledger, shard, home, entry, out);
  }
  return out;
}

std::vector<Envelope> OnLedgerTick(Ledger& ledger, const LedgerContext& ctx) {
  std::vector<Envelope> out;
  for (auto& [number, shard] : ledger.shards) {
    DropExpired(ledger, shard, ctx.now);
    const ShardView* view = ViewOf(ctx, number);
    if (!view || view->primary != ctx.self || view->number != shard.view)
      continue;
    EndRecordsOfDeadOwners(ledger, ctx, number, *view, shard, out);
    ResendReplication(ledger, ctx, number, *view, shard, out);
  }
  return out;
}

void OnViewsChanged(Ledger& ledger, const LedgerContext& ctx) {
  if (!ctx.views)
    return;
  for (int number = 0; number < kShardsPerRegion; ++number) {
    const ShardView* view = ViewOf(ctx, number);
    if (!view)
      return;
    if (IsHolder(*view, ctx.self)) {
      ShardInView(ledger, ctx, number, *view);
      continue;
    }
    const auto it = ledger.shards.find(number);
    if (it == ledger.shards.end())
      continue;
    EraseAllRecords(ledger, it->second);
    ledger.shards.erase(it);
  }
}

std::vector<SyncedShard> SyncedShards(const Ledger& ledger,
                                      const LedgerContext& ctx) {
  std::vector<SyncedShard> out;
  for (const auto& [number, shard] : ledger.shards) {
    const ShardView* view = ViewOf(ctx, number);
    if (!view || view->primary != ctx.self || view->number != shard.view)
      continue;
    if (view->backup.empty() || view->backup_synced || !shard.catch_up.empty())
      continue;
    out.push_back({number, view->number});
  }
  return out;
}

bool HoldsAnyShard(const LedgerContext& ctx) {
  if (!ctx.views)
    return false;
  return std::any_of(
      ctx.views->shards.begin(), ctx.views->shards.end(),
      [&](const ShardView& it) { return IsHolder(it, ctx.self); });
}

}  // namespace sassafras
