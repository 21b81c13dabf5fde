// Records of idempotency keys on the hosts that hold their shards.
//
// A request with a key is dispatched only after the primary and the backup of
// the key's shard both hold the record "started". The record ends as finished
// (with the answer, if it is small enough), unknown or withdrawn. A record
// that may have run is never started again.
#ifndef DECISIONS_LEDGER_H_
#define DECISIONS_LEDGER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/messages.h"
#include "decisions/shard_views.h"

namespace sassafras {

struct LedgerLimits {
  size_t max_records = 200000;
  uint64_t max_answer_bytes = 64ULL << 20;  // Over all kept answers.
  uint64_t max_answer_size = 64 << 10;      // Of one kept answer.
  Duration retention = std::chrono::minutes(20);
  Duration replication_resend_after = std::chrono::milliseconds(400);
  size_t max_batch_records = 256;
};

// What the holder knows of its surroundings at the time of an event.
struct LedgerContext {
  Time now;
  HostId self;
  // Views of this region, null if none are known.
  const RegionViews* views = nullptr;
  // The backup of a shard can be reached.
  std::function<bool(const HostId&)> is_answering;
  // The owner of an exchange still lives in the incarnation that began it.
  std::function<bool(const HostId&, ExchangeId)> is_owner_alive;
  // More than half of the region's hosts answer: no newer view can be in
  // force without one of them.
  bool hears_majority = false;
};

struct Ledger {
  LedgerLimits limits;
  RegionId region;

  struct Waiter {
    HostId host;
    ExchangeId exchange;
  };
  struct Entry {
    KeyRecord record;
    Time changed;
    // View under which the record was made or received.
    ViewNumber view;
    // Revision that the present backup has acknowledged.
    uint64_t acknowledged = 0;
    Time replicated_at;
    // The owner may hold permission to dispatch.
    bool grant_may_be_sent = false;
    std::vector<Waiter> waiters;
  };
  struct Expiry {
    Time at;
    RequestKey key;
  };
  struct Shard {
    ViewNumber view;  // Under which the fields below hold.
    Generation generation;
    // When this host learnt of the generation, for keys without a prefix.
    Time generation_seen;
    std::unordered_map<RequestKey, Entry> entries;
    // Keys whose newest revision the backup has not acknowledged.
    std::unordered_set<RequestKey> unacknowledged;
    // Keys older than the view that the backup has not acknowledged yet.
    std::unordered_set<RequestKey> catch_up;
    // Keys with waiters.
    std::unordered_set<RequestKey> keys_with_waiters;
    std::deque<Expiry> expiries;
  };
  std::map<int, Shard> shards;  // Shards that this host holds or held.
  size_t record_count = 0;
  uint64_t answer_bytes = 0;
};

// An exchange asks to begin a key.
std::vector<Envelope> OnKeyBegin(Ledger& ledger,
                                 const LedgerContext& ctx,
                                 const HostId& from,
                                 const KeyBegin& begin);

// An exchange has ended.
std::vector<Envelope> OnKeyComplete(Ledger& ledger,
                                    const LedgerContext& ctx,
                                    const HostId& from,
                                    const KeyComplete& complete);

// A primary sends records.
std::vector<Envelope> OnKeyReplicate(Ledger& ledger,
                                     const LedgerContext& ctx,
                                     const HostId& from,
                                     const KeyReplicate& batch);

// The backup has answered.
std::vector<Envelope> OnKeyReplicated(Ledger& ledger,
                                      const LedgerContext& ctx,
                                      const HostId& from,
                                      const KeyReplicated& reply);

// Repeats replication, answers waiters of dead owners and drops records whose
// retention is over. Called about ten times a second.
std::vector<Envelope> OnLedgerTick(Ledger& ledger, const LedgerContext& ctx);

// Takes new views into account. Called whenever the views document changes.
void OnViewsChanged(Ledger& ledger, const LedgerContext& ctx);

// Shards for which this primary's backup holds everything.
std::vector<SyncedShard> SyncedShards(const Ledger& ledger,
                                      const LedgerContext& ctx);

// Whether this host is primary or backup of any shard.
bool HoldsAnyShard(const LedgerContext& ctx);

}  // namespace sassafras

#endif  // DECISIONS_LEDGER_H_
