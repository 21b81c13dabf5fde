// The records of a ledger's shards: insertion, views and retention. Shared
// between the ledger's source files only.
#ifndef DECISIONS_LEDGER_RECORDS_H_
#define DECISIONS_LEDGER_RECORDS_H_

#include "decisions/ledger.h"

namespace sassafras::ledger_records {

// The shard's newest view, or nothing while none is known.
const ShardView* ViewOf(const LedgerContext& ctx, int shard);

bool IsHolder(const ShardView& view, const HostId& host);

// Drops one record with all that refers to it.
void EraseRecord(Ledger& ledger, Ledger::Shard& shard, const RequestKey& key);

void EraseAllRecords(Ledger& ledger, Ledger::Shard& shard);

// The shard's records, brought in line with its view.
Ledger::Shard& ShardInView(Ledger& ledger,
                           const LedgerContext& ctx,
                           int number,
                           const ShardView& view);

// Inserts or replaces the record of a key.
Ledger::Entry& PutRecord(Ledger& ledger,
                         Ledger::Shard& shard,
                         const KeyRecord& record,
                         Time now);

// Drops the records whose retention is over.
void DropExpired(Ledger& ledger, Ledger::Shard& shard, Time now);

}  // namespace sassafras::ledger_records

#endif  // DECISIONS_LEDGER_RECORDS_H_
