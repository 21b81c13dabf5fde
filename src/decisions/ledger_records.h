// Stores the records of a ledger's shards: insertion, change of views and
// retention. Internal to the ledger.
#ifndef DECISIONS_LEDGER_RECORDS_H_
#define DECISIONS_LEDGER_RECORDS_H_

#include "decisions/ledger.h"

namespace sassafras::ledger_records {

// The shard's newest view, or null if none is known.
const ShardView* ViewOf(const LedgerContext& ctx, int shard);

bool IsHolder(const ShardView& view, const HostId& host);

// Erases one record and all references to it.
void EraseRecord(Ledger& ledger, Ledger::Shard& shard, const RequestKey& key);

void EraseAllRecords(Ledger& ledger, Ledger::Shard& shard);

// Returns the shard's records after applying `view`: a new generation erases
// all of them, and a new view starts to copy them to its backup.
Ledger::Shard& ShardInView(Ledger& ledger,
                           const LedgerContext& ctx,
                           int number,
                           const ShardView& view);

// Inserts or replaces the record of a key.
Ledger::Entry& PutRecord(Ledger& ledger,
                         Ledger::Shard& shard,
                         const KeyRecord& record,
                         Time now);

// Drops records whose retention has ended.
void DropExpired(Ledger& ledger, Ledger::Shard& shard, Time now);

}  // namespace sassafras::ledger_records

#endif  // DECISIONS_LEDGER_RECORDS_H_
