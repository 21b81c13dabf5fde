// State machine of an entry host: look-ups, requests, slots, records of
// idempotency keys, membership and document distribution.
//
// Handle() takes one event and its time and returns the actions to perform.
// The node reads no clock and opens no socket, so any number of nodes can run
// in one process.
#ifndef DECISIONS_ENTRY_NODE_H_
#define DECISIONS_ENTRY_NODE_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/time.h"
#include "decisions/documents.h"
#include "decisions/flow.h"
#include "decisions/granter.h"
#include "decisions/intent.h"
#include "decisions/ledger.h"
#include "decisions/lookup.h"
#include "decisions/membership.h"
#include "decisions/messages.h"
#include "decisions/plan.h"
#include "decisions/poison.h"
#include "decisions/retry.h"
#include "decisions/store_calls.h"
#include "decisions/topology.h"
#include "decisions/zone_status.h"

namespace sassafras {

// ---- Events ----

struct PeerMessage {
  HostId from;
  Message message;
};

// Current store objects of one document kind.
struct StoreObjects {
  DocumentKind kind = DocumentKind::kHosts;
  std::vector<StoreObject> objects;
  bool complete = false;  // All objects of the kind, not only changed ones.
};

// The store's reply to a WriteStatus action.
struct StatusWritten {
  StoreReply reply;
};

// A caller's request. Its headers have arrived and, if it has an idempotency
// key, also its body.
struct CallArrived {
  ExchangeId exchange;
  ServiceId service;
  Route route;
  CallerId caller;
  RequestKey key;  // Empty if the request has no idempotency key.
  Fingerprint fingerprint;
  Fingerprint body;
  Duration timeout{};
};

struct CallerGone {
  ExchangeId exchange;
};

struct DispatchEnded {
  ExchangeId exchange;
  SlotOutcome outcome = SlotOutcome::kBroken;
  bool replayable = false;
  bool answer_begun = false;
  // The complete answer, if it was small enough to be kept.
  bool answer_kept = false;
  StoredAnswer answer;
};

// The timer of the last SetTimer action has expired.
struct TimerFired {
  WallTime wall{};  // Compared with dates that operators set.
};

// The process was told to stop.
struct StopRequested {};

using EntryEvent = std::variant<PeerMessage,
                                StoreObjects,
                                StatusWritten,
                                CallArrived,
                                CallerGone,
                                DispatchEnded,
                                TimerFired,
                                StopRequested>;

// ---- Actions ----

// Whether a refused request ran.
enum class Ran { kNo, kYes, kUnknown };

template <>
struct NamesTable<Ran> {
  static constexpr EnumName<Ran> kNames[] = {
      {Ran::kNo, "no"},
      {Ran::kYes, "yes"},
      {Ran::kUnknown, "unknown"},
  };
};
SASSAFRAS_ENUM_JSON(Ran);

// An error response to a caller.
struct Problem {
  int status = 503;
  std::string code;
  Ran ran = Ran::kUnknown;
  Duration retry_after{};  // Zero for none.
};

struct RefuseCall {
  ExchangeId exchange;
  Problem problem;
};

// Answers a call with the stored answer of an earlier request.
struct AnswerCall {
  ExchangeId exchange;
  StoredAnswer answer;
};

struct Dispatch {
  ExchangeId exchange;
  EndpointId endpoint;
  Address address;
  Duration timeout{};
};

struct CancelDispatch {
  ExchangeId exchange;
};

// Starts or stops following the document kinds in the store.
struct FollowStore {
  bool follow = false;
};

struct WriteStatus {
  StorePut put;
};

// Sets the time of the next TimerFired and replaces the previous setting.
struct SetTimer {
  Time at;
};

struct LogEvent {
  std::string part;
  std::string text;
};

// The process may exit: the node has finished its shutdown.
struct Exit {};

using EntryAction = std::variant<Envelope,
                                 RefuseCall,
                                 AnswerCall,
                                 Dispatch,
                                 CancelDispatch,
                                 FollowStore,
                                 WriteStatus,
                                 SetTimer,
                                 LogEvent,
                                 Exit>;

// ---- State ----

struct EntryLimits {
  Duration tick = std::chrono::milliseconds(100);
  Duration slot_tick = std::chrono::milliseconds(5);
  Duration resend_after = std::chrono::milliseconds(300);
  // A key whose grant has not arrived is withdrawn this long before the
  // caller's deadline.
  Duration withdraw_margin = std::chrono::milliseconds(150);
  Duration report_period = std::chrono::seconds(2);
  Duration status_period = std::chrono::seconds(2);
  // A stopping host continues to serve for at least this long: the look-up
  // TTL, the time until all hosts have its heartbeat, and a margin.
  Duration min_stop_time = std::chrono::seconds(9);
  // Longest time that a stopping host waits for its shards to be handed over.
  Duration max_stop_time = std::chrono::seconds(60);
  Duration outcome_retention = std::chrono::minutes(20);
  // A zone first heard within this time after the start counts as having been
  // available before, so its share does not ramp up.
  Duration start_grace = std::chrono::seconds(10);
  // Fraction of the slots that this host grants for a zone it does not hear:
  // hosts of that zone may be granting the same slots.
  double unheard_zone_slot_share = 0.25;
};

struct Exchange {
  enum class Phase { kKey, kSlot, kRunning, kWithdrawing };

  ExchangeId id;
  ServiceId service;
  Route route;
  CallerId caller;
  RequestKey key;
  KeyHome home;
  Fingerprint fingerprint;
  Fingerprint body;
  Time arrived;
  Time deadline;
  Phase phase = Phase::kSlot;
  Time asked;     // When the last request to a peer was sent.
  HostId holder;  // Host to which the last KeyBegin was sent.
  HostId granter;
  ZoneId zone;
  EndpointId endpoint;
  Time dispatched;
  int tries = 0;
  bool caller_gone = false;
};

// Outcome of an exchange that the key's holders have not confirmed yet.
struct PendingOutcome {
  KeyComplete complete;
  Time next_send;
  Time expires;
};

struct DemandCounter {
  double arrivals = 0;  // Since the last report.
  double requests_per_second = 0;
  double service_seconds = 0;
};

struct EntryNode {
  EntryNode(Topology topology, Host self, uint64_t seed);

  EntryLimits limits;
  Topology topology;
  Host self;
  HostId control;  // Control process on the same host; may be empty.
  std::mt19937_64 random;
  uint64_t next_exchange = 0;

  // Documents.
  Replica replica;
  HostList hosts;
  std::map<ServiceId, EndpointList> endpoints;
  Intent intent;
  std::map<ServiceId, ServicePlan> plans;
  std::map<RegionId, RegionViews> views;
  bool has_intent = false;
  WallTime wall{};
  // Endpoints that the intent excludes from new work at time `wall`.
  std::set<EndpointId> leaving_endpoints;
  // The store has been read completely, or a peer has the same documents.
  bool joined = false;
  bool follows_store = false;
  std::map<HostId, Time> summary_sent;

  // Membership.
  Membership membership;
  LookupTable lookup;
  std::map<HostId, HostState> states;  // As of the last tick.

  // Routing.
  struct Routing {
    ZoneTracker tracker;
    EffectiveShares shares;
    FlowRow row;
  };
  std::map<ServiceId, Routing> routing;
  // Cache of the granting host by service and zone, cleared when membership
  // or routing changes.
  mutable std::map<std::pair<ServiceId, ZoneId>, HostId> granting_hosts;
  RetryBudget retries;

  // Requests.
  std::unordered_map<ExchangeId, Exchange> exchanges;
  std::unordered_map<ExchangeId, PendingOutcome> outcomes;

  // Slots.
  std::map<std::pair<ServiceId, ZoneId>, Granter> granters;
  PoisonList poison;

  // Keys.
  Ledger ledger;

  // Reports.
  std::map<std::pair<ServiceId, Priority>, DemandCounter> demand;
  std::map<HostId, std::pair<Time, HostReport>> reports;
  Time next_report;
  Time next_status;
  Time last_report;
  uint64_t status_revision = 0;
  uint64_t status_sequence = 0;
  bool status_in_flight = false;

  // Stopping.
  bool stopping = false;
  Time stop_began;
  bool exited = false;
  Time started;

  Time timer;  // Time of the last SetTimer action.
  Time next_tick;
};

// Starts the node: sets its first timer.
std::vector<EntryAction> StartEntry(EntryNode& node, Time now);

std::vector<EntryAction> Handle(EntryNode& node,
                                const EntryEvent& event,
                                Time now);

// Allocates an exchange ID that is unique over all starts of this host.
ExchangeId NewExchange(EntryNode& node);

// Incarnation of the host that allocated the exchange ID.
uint64_t IncarnationOf(ExchangeId exchange);

// Whether the node may answer callers: it has joined and has an intent and at
// least one plan.
bool IsReady(const EntryNode& node);

// Answers a look-up of the client at `client_ip`. Returns an empty answer
// while the node is not ready.
LookupAnswer AnswerLookup(EntryNode& node, uint32_t client_ip);

}  // namespace sassafras

#endif  // DECISIONS_ENTRY_NODE_H_
