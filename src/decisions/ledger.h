// Replicated records of idempotency keys, kept by the hosts that hold their
// shards, so that a request with a key runs at most once.
//
// A request with a key is dispatched only after the primary and the backup of
// the key's shard have both stored a "started" record. The record ends as
// finished (with the answer, if it is small enough), unknown or withdrawn. A
// key whose request may have run is never started again.
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
  uint64_t max_answer_bytes = 64ULL << 20;  // Bodies of all kept answers.
  uint64_t max_answer_size = 64 << 10;      // Body of one kept answer, bytes.
  Duration retention = std::chrono::minutes(20);  // After the last change.
  Duration replication_resend_after = std::chrono::milliseconds(400);
  size_t max_batch_records = 256;
};

// State of the host outside the ledger at the time of an event.
struct LedgerContext {
  Time now;
  HostId self;
  // Views of this region; null if none are known.
  const RegionViews* views = nullptr;
  // Whether the host answers; asked of the backup of a shard.
  std::function<bool(const HostId&)> is_answering;
  // Whether the owner of an exchange is alive and has not restarted since the
  // exchange began.
  std::function<bool(const HostId&, ExchangeId)> is_owner_alive;
  // More than half of the region's hosts answer. A newer view cannot be in
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
    // View in which the record was created or received.
    ViewNumber view;
    // Revision that the current backup has acknowledged.
    uint64_t acknowledged = 0;
    Time replicated_at;
    // A KeyGrant may have been sent, so the owner may have dispatched.
    bool grant_may_be_sent = false;
    std::vector<Waiter> waiters;
  };
  struct Expiry {
    Time at;
    RequestKey key;
  };
  struct Shard {
    ViewNumber view;  // View to which the fields below belong.
    Generation generation;
    // When this host learnt of the generation. Within `retention` of it, keys
    // without a prefix may belong to an older generation.
    Time generation_seen;
    std::unordered_map<RequestKey, Entry> entries;
    // Keys whose newest revision the backup has not acknowledged.
    std::unordered_set<RequestKey> unacknowledged;
    // Keys that existed when the view began and that the backup has not
    // acknowledged yet.
    std::unordered_set<RequestKey> catch_up;
    // Keys with waiters.
    std::unordered_set<RequestKey> keys_with_waiters;
    std::deque<Expiry> expiries;
  };
  std::map<int, Shard> shards;  // Shards that this host holds or held.
  size_t record_count = 0;
  uint64_t answer_bytes = 0;
};

// Handles the request of an exchange to begin a key.
std::vector<Envelope> OnKeyBegin(Ledger& ledger,
                                 const LedgerContext& ctx,
                                 const HostId& from,
                                 const KeyBegin& begin);

// Handles the outcome of an exchange.
std::vector<Envelope> OnKeyComplete(Ledger& ledger,
                                    const LedgerContext& ctx,
                                    const HostId& from,
                                    const KeyComplete& complete);

// Stores records sent by a shard's primary.
std::vector<Envelope> OnKeyReplicate(Ledger& ledger,
                                     const LedgerContext& ctx,
                                     const HostId& from,
                                     const KeyReplicate& batch);

// Handles the backup's acknowledgement or refusal of records.
std::vector<Envelope> OnKeyReplicated(Ledger& ledger,
                                      const LedgerContext& ctx,
                                      const HostId& from,
                                      const KeyReplicated& reply);

// Resends unacknowledged records, answers the waiters of keys whose owner died
// and drops records after their retention. Called about 10 times per second.
std::vector<Envelope> OnLedgerTick(Ledger& ledger, const LedgerContext& ctx);

// Applies new views. Called whenever the views document changes.
void OnViewsChanged(Ledger& ledger, const LedgerContext& ctx);

// Shards of which this host is primary and whose backup has all records, while
// the view does not yet mark the backup as synced.
std::vector<SyncedShard> SyncedShards(const Ledger& ledger,
                                      const LedgerContext& ctx);

// Whether this host is primary or backup of any shard.
bool HoldsAnyShard(const LedgerContext& ctx);

}  // namespace sassafras

#endif  // DECISIONS_LEDGER_H_
