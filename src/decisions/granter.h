// Grants the slots of one service's endpoints in one zone.
//
// One host per service and zone, chosen by rendezvous hashing, decides for
// all entry hosts: urgent work goes first on every host, each other class
// keeps its least share, and endpoints that leave, fail or warm up are
// handled in one place. The state is soft: a host that takes over learns
// what runs from the entries. Two granters at once only make endpoints shed.
#ifndef DECISIONS_GRANTER_H_
#define DECISIONS_GRANTER_H_

#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/time.h"
#include "decisions/endpoint_health.h"
#include "decisions/fair_queue.h"
#include "decisions/messages.h"
#include "decisions/poison.h"
#include "decisions/topology.h"

namespace sassafras {

struct GranterLimits {
  HealthLimits health;
  // Time that an endpoint needs per new connection.
  Duration connect_pace = std::chrono::milliseconds(1);
  // Grants older than this are checked against their entries.
  Duration audit_after = std::chrono::seconds(2);
  // Slots that an endpoint which shed is trusted with again, per second.
  double slot_recovery = 0.5;
  // Work that is not urgent is granted at most at this multiple of the rate
  // that the slots can serve, beyond a burst of so many grants. Slots that
  // were freed together are so freed one by one the next time, and urgent
  // work finds one soon.
  double pace_factor = 1.15;
  double pace_burst = 2.0;
  // Time over which the use of slots is averaged for work of other regions.
  Duration use_average = std::chrono::seconds(1);
  // A request is refused when its expected wait exceeds this part of its time
  // left.
  double wait_share_of_budget = 0.8;
  // Expected time of a use before any was observed.
  Duration initial_use_estimate = std::chrono::milliseconds(50);
  // A granter that has just taken over waits this long for entries to report
  // what runs.
  Duration takeover_pause = std::chrono::milliseconds(300);
  size_t max_queue = 20000;
  // Copies of one request run on at most this many endpoints at once.
  size_t max_copy_endpoints = 2;
};

struct Granter {
  GranterLimits limits;
  ServiceId service;
  ZoneId zone;
  RegionId region;
  PerPriority<double> least_shares{};
  // Part of the slots that work of other regions may not use.
  double headroom = 0;
  // Part of the slots that this granter may use; below 1 while it cannot
  // reach the hosts that usually grant.
  double slot_share = 1.0;

  struct EndpointState {
    Endpoint endpoint;
    std::unordered_set<ExchangeRef, ExchangeRefHash> running;
    std::set<HostId> connected;  // Entry hosts with a pooled connection.
    Time next_connect;
    bool runs_suspect = false;
    uint64_t deaths = 0;
    // The endpoint has answered since its last death.
    bool answered = true;
    // Slots that the endpoint has been found to give this granter: falls when
    // it sheds, since others use its slots too, and recovers with time.
    double observed_slots = 0;
    Time observed_at;
  };
  std::map<EndpointId, EndpointState> endpoints;
  HealthMap health;

  struct Grant {
    EndpointId endpoint;
    SlotRequest request;
    Time granted;
    Time expires;
    bool suspect = false;
  };
  std::unordered_map<ExchangeRef, Grant, ExchangeRefHash> grants;
  // Where requests with the same fingerprint run now, with their numbers.
  using Copies = std::map<EndpointId, size_t>;
  std::unordered_map<Fingerprint, Copies> copies;
  // May hold requests that were cancelled; `queued` names those that wait.
  PerPriority<CallerQueue> queues;
  std::unordered_set<ExchangeRef, ExchangeRefHash> queued;
  PerPriority<size_t> held{};
  PerPriority<double> mean_use_seconds{};
  ShareAccounts shares;
  Time paced_until;  // Theoretical time of the next paced grant.
  Time active_since;
  Time next_audit;
  // Moving means of the slots in use per class, for work of other regions.
  PerPriority<double> mean_held{};
  Time mean_held_at;
};

// Replaces the list of endpoints: those that leave get no new work.
void SetEndpoints(Granter& g, const std::vector<Endpoint>& list, Time now);

std::vector<Envelope> OnSlotRequest(Granter& g,
                                    PoisonList& poison,
                                    const HostId& from,
                                    const SlotRequest& request,
                                    Time now);

std::vector<Envelope> OnSlotRelease(Granter& g,
                                    PoisonList& poison,
                                    const HostId& from,
                                    const SlotRelease& release,
                                    Time now,
                                    std::vector<PoisonNotice>& notices);

// Frees what a dead host held.
void OnHostDied(Granter& g, const HostId& host);

// Grants what has become possible, refuses what can no longer be served in
// time, and audits old grants. Called every few milliseconds while requests
// wait.
std::vector<Envelope> OnGranterTick(Granter& g, PoisonList& poison, Time now);

bool HasWaiting(const Granter& g);

// When a paced request can be granted, if that is before `latest`.
Time NextPacedGrant(const Granter& g, Time latest, Time now);

// Slots of endpoints that are fit for new work.
double HealthySlots(const Granter& g, Time now);

}  // namespace sassafras

#endif  // DECISIONS_GRANTER_H_
