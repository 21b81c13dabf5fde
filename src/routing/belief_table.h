// The store's objects as a host knows them, and the log from which a relay
// passes their changes on to other hosts.
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

struct BeliefKind {
  uint64_t as_of = 0;  // Zero: the kind has not been listed yet.
  std::map<std::string, BeliefItem> objects;
};

struct BeliefTable {
  // The kinds are fixed at the start.
  std::map<std::string, BeliefKind> kinds;

  // Log of changes; `epoch` tells this process's log from others'.
  uint64_t epoch = 0;
  uint64_t sequence = 0;       // Of the last change.
  std::deque<BeliefItem> log;  // The last changes, up to `sequence`.
};

// Changes that a relay keeps; a host that lacks more gets everything.
inline constexpr size_t kMostLogged = 2000;

BeliefTable MakeBeliefTable(const std::vector<std::string>& kinds,
                            uint64_t epoch);

// Whether every kind has been listed.
bool IsComplete(const BeliefTable& table);

// Takes a list or changes that came from the store. Returns what is new;
// whatever is older than what the table holds is left out.
std::vector<BeliefItem> ApplyStoreChange(BeliefTable& table,
                                         const std::string& kind,
                                         const StoreChange& change);

// Takes what a relay sent, whole or in part. Returns what is new.
std::vector<BeliefItem> ApplyPush(BeliefTable& table, const BeliefPush& push);

// What a host at (`epoch`, `sequence`) lacks; possibly without items. `doubt`:
// for how long yet a removed record need not mean that its endpoint left.
BeliefPush MakePush(const BeliefTable& table,
                    uint64_t epoch,
                    uint64_t sequence,
                    Duration doubt);

// A host that follows this one.
struct BeliefFollower {
  BeliefFollow acked;  // What its last sign of life showed.
  uint64_t sent = 0;   // Position in the log up to which it was sent.
  Time heard;
  Time progressed;  // When its position last moved, or all was sent to it.
};

// A follower that is silent for this long has gone elsewhere.
inline constexpr Duration kFollowerSilence = std::chrono::seconds(3);
// A follower whose position has not moved by then has lost a push.
inline constexpr Duration kPushRepeat = std::chrono::milliseconds(700);

using BeliefFollowers = std::unordered_map<HostId, BeliefFollower>;

// Takes a follower's sign of life; returns what to answer.
BeliefPush OnFollow(BeliefFollowers& followers,
                    const BeliefTable& table,
                    const HostId& from,
                    const BeliefFollow& follow,
                    Duration doubt,
                    Time now);

// Whether any host takes this one for a relay.
bool HasFollowers(const BeliefFollowers& followers, Time now);

struct AddressedPush {
  HostId to;
  BeliefPush push;
};

// What to send to the followers after a change.
std::vector<AddressedPush> PushToAll(BeliefFollowers& followers,
                                     const BeliefTable& table,
                                     Duration doubt,
                                     Time now);

}  // namespace sassafras

#endif  // ROUTING_BELIEF_TABLE_H_
