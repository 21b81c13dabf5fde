// The logic of the control process. Every host runs one control process. The
// one that holds the lease, called the leader, computes plans and shard views
// from the intent, the platform's lists of hosts and endpoints, and the zones'
// reports and host lists, and writes them to the store.
#ifndef DECISIONS_CONTROL_NODE_H_
#define DECISIONS_CONTROL_NODE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/documents.h"
#include "decisions/entry_node.h"
#include "decisions/intent.h"
#include "decisions/lease.h"
#include "decisions/messages.h"
#include "decisions/plan.h"
#include "decisions/planner.h"
#include "decisions/shard_views.h"
#include "decisions/store_calls.h"
#include "decisions/topology.h"
#include "decisions/zone_status.h"

namespace sassafras {

// A call to the store. The answer carries the same id.
struct StoreCall {
  uint64_t id = 0;
  std::variant<StoreGet, StoreList, StorePut> call;
};

struct StoreAnswer {
  uint64_t id = 0;
  StoreReply reply;
};

using ControlEvent = std::variant<PeerMessage, StoreAnswer, TimerFired>;
using ControlAction = std::variant<Envelope, StoreCall, SetTimer, LogEvent>;

struct ControlLimits {
  LeaseLimits lease;
  PlannerLimits planner;
  Duration tick_interval = std::chrono::milliseconds(500);
  // Interval at which the leader reads the whole store.
  Duration read_interval = std::chrono::seconds(1);
  // A store call without an answer is dropped after this time.
  Duration call_timeout = std::chrono::seconds(5);
  // A zone's reports are stale if their sequence number has not changed for
  // this long; a zone's host list is stale if it is older than this. It is also
  // the longest time that a new leader waits for missing hosts and host lists
  // before it computes views.
  Duration report_timeout = std::chrono::seconds(6);
  // A control process acquires the lease only if the last heartbeat from the
  // entry process of its own host is not older than this and names that host as
  // a relay that is not leaving. A leader renews the lease in any case.
  Duration entry_timeout = std::chrono::seconds(4);
  // Maximum decrease of a demand estimate, as a fraction per second. Because of
  // this limit, reports that are too low for a moment do not cause the planner
  // to move work to the zone.
  double demand_decay_per_second = 0.05;
};

struct ControlNode {
  ControlNode(Topology topology, Host self);

  ControlLimits limits;
  Topology topology;
  Host self;     // Its ID is the lease's `holder` if it leads.
  HostId entry;  // The entry process of the same host.

  Replica replica;
  // Store revisions and versions of the documents, as last read or written.
  std::map<DocumentKey, uint64_t> revisions;
  std::map<DocumentKey, Version> stored_versions;

  // From the heartbeats of the entry process of the same host.
  bool is_relay = false;
  Time entry_last_heard;
  std::map<ZoneId, std::pair<Time, ZoneMembership>> zone_memberships;

  LeaseView lease;
  Time next_lease_poll;

  struct ZoneReports {
    ZoneStatus status;
    Time changed;  // When a new sequence number or reporter was last seen.
  };
  std::map<ZoneId, ZoneReports> statuses;
  std::map<std::pair<ServiceId, ZoneId>, double> estimated_demand_slots;
  Time demand_estimated_at;
  Time leading_since;

  // Store calls that have not been answered yet.
  struct PendingCall {
    std::variant<StoreGet, StoreList, StorePut> call;
    Time sent;
  };
  uint64_t last_call_id = 0;
  std::map<uint64_t, PendingCall> calls;
  Time next_read;
  // Kinds whose list the store has not yet returned in the current reading.
  std::set<std::string> unread_kinds;
  // Whether the last reading of the store is complete and has been processed.
  // Plans and views are computed from it only if this process is the leader and
  // no write is pending.
  bool is_reading_handled = true;

  Time next_tick;
};

std::vector<ControlAction> StartControl(ControlNode& node, Time now);

std::vector<ControlAction> Handle(ControlNode& node,
                                  const ControlEvent& event,
                                  Time now);

bool IsLeader(const ControlNode& node, Time now);

}  // namespace sassafras

#endif  // DECISIONS_CONTROL_NODE_H_
