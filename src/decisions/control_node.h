// The logic of a host's control process. Every host runs one; the one that
// holds the lease derives plans and views from the intent and from what the
// zones report.
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

// A call to the store; its answer comes back with the same number.
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
  // The leader reads the store this often.
  Duration read_interval = std::chrono::seconds(1);
  // A store call without an answer is given up after this time.
  Duration call_timeout = std::chrono::seconds(5);
  // Reports of a zone whose sequence stands still for this long are stale.
  Duration report_timeout = std::chrono::seconds(6);
  // Heartbeats of the entry process beside this one.
  Duration entry_timeout = std::chrono::seconds(4);
  // Falling demand is believed at this rate, so that reports which lie low
  // for a moment do not draw work; part per second.
  double demand_decay_per_second = 0.05;
};

struct ControlNode {
  ControlNode(Topology topology, Host self);

  ControlLimits limits;
  Topology topology;
  Host self;  // The host; the lease names it.
  HostId entry;

  Replica replica;
  // Revisions of the documents in the store, as last read.
  std::map<DocumentKey, uint64_t> revisions;
  std::map<DocumentKey, Version> stored_versions;

  // What the entry process says.
  bool is_relay = false;
  Time entry_last_heard;
  std::map<ZoneId, std::pair<Time, ZoneBeat>> zone_memberships;

  LeaseView lease;
  Time next_lease_poll;

  struct ZoneReports {
    ZoneStatus status;
    Time changed;
  };
  std::map<ZoneId, ZoneReports> statuses;
  std::map<std::pair<ServiceId, ZoneId>, double> estimated_demand_slots;
  Time demand_estimated_at;
  Time leading_since;

  // Store calls on their way.
  struct PendingCall {
    std::variant<StoreGet, StoreList, StorePut> call;
    Time sent;
  };
  uint64_t last_call_id = 0;
  std::map<uint64_t, PendingCall> calls;
  Time next_read;
  std::set<std::string> unread_kinds;  // Kinds whose list has not come yet.
  bool is_reading_handled = true;      // For the last complete reading.

  Time next_tick;
};

std::vector<ControlAction> StartControl(ControlNode& node, Time now);

std::vector<ControlAction> Handle(ControlNode& node,
                                  const ControlEvent& event,
                                  Time now);

bool IsLeader(const ControlNode& node, Time now);

}  // namespace sassafras

#endif  // DECISIONS_CONTROL_NODE_H_
