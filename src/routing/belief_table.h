// The store's objects as a host knows them, and what other hosts lack of them.
// Positions are the store's revisions, so that a host which changes its relay
// gets just what it lacks from the new one.
//
// Answers to: a store that prices every call and holds its rates while the
// fleet grows. A few hosts follow the store, all others follow them.
#ifndef ROUTING_BELIEF_TABLE_H_
#define ROUTING_BELIEF_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/messages.h"
#include "decisions/store_calls.h"

namespace sassafras {

// Revisions between `from` and `to` were skipped by a list: objects that came
// and went there are not known.
struct BeliefGap {
  uint64_t from = 0;
  uint64_t to = 0;
};

struct BeliefKind {
  uint64_t as_of = 0;  // Zero: the kind has not been listed yet.
  std::map<std::string, CacheItem> objects;
  // Removals after revision `removals_since`, oldest first.
  std::deque<CacheItem> removals;
  uint64_t removals_since = 0;
  std::deque<BeliefGap> gaps;
};

struct BeliefTable {
  // The kinds are fixed at the start.
  std::map<std::string, BeliefKind> kinds;
};

// Removals of a kind that a host keeps: more than happen while another host
// is cut off for a minute.
inline constexpr size_t kMostRemovals = 2000;
// Lists that replaced a lost history, as many as a host remembers.
inline constexpr size_t kMostGaps = 16;

BeliefTable MakeBeliefTable(const std::vector<std::string>& kinds);

// Whether every kind has been listed.
bool IsComplete(const BeliefTable& table);

// What this host knows, to ask a relay for more.
CacheFollow PositionsOf(const BeliefTable& table);

// Takes a list or changes that came from the store. Returns what is new;
// whatever is older than what the table holds is left out.
std::vector<CacheItem> ApplyStoreChange(BeliefTable& table,
                                        const std::string& kind,
                                        const StoreChange& change);

// Takes what another host sent. Returns what is new. Spans that begin behind
// what the table holds are left out: the sender will notice and send again.
std::vector<CacheItem> ApplyPush(BeliefTable& table, const CachePush& push);

// What a host that knows `known` lacks; possibly without items. `doubt`: for
// how long yet a removed record need not mean that its endpoint left.
CachePush MakePush(const BeliefTable& table,
                   const CacheFollow& known,
                   Duration doubt);

// A host that follows this one.
struct BeliefFollower {
  CacheFollow acked;  // What its last sign of life showed.
  CacheFollow sent;   // What it knows if no push was lost.
  Time heard;
  Time progressed;  // When `acked` last grew, or pushes were sent again.
};

// A follower that is silent for this long has gone elsewhere.
inline constexpr Duration kFollowerSilence = std::chrono::seconds(3);
// A follower that knows no more by then has lost a push: two signs of life.
inline constexpr Duration kPushRepeat = std::chrono::milliseconds(700);

using BeliefFollowers = std::unordered_map<HostId, BeliefFollower>;

// Takes a follower's sign of life; returns what to answer.
CachePush OnFollow(BeliefFollowers& followers,
                   const BeliefTable& table,
                   const HostId& from,
                   const CacheFollow& follow,
                   Duration doubt,
                   Time now);

// Whether any host takes this one for a relay.
bool HasFollowers(const BeliefFollowers& followers, Time now);

struct AddressedPush {
  HostId to;
  CachePush push;
};

// What to send to the followers after a change.
std::vector<AddressedPush> PushToAll(BeliefFollowers& followers,
                                     const BeliefTable& table,
                                     Duration doubt,
                                     Time now);

}  // namespace sassafras

#endif  // ROUTING_BELIEF_TABLE_H_
