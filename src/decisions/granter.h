// Grants the slots of one service's endpoints in one zone.
//
// One host per service and zone, chosen by rendezvous hashing, grants for all
// entry hosts. That gives urgent requests precedence over those of every other
// host, keeps the minimum share of each other class, and handles endpoints
// that leave, fail or warm up in one place. The state is soft: after a
// takeover the new granter learns from the entry hosts what is running. If two
// hosts grant at the same time, the only effect is that endpoints shed
// requests.
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
  // Minimum time between new connections to one endpoint.
  Duration connect_pace = std::chrono::milliseconds(1);
  // Age from which grants are checked with their entry hosts, and the period
  // of these checks.
  Duration audit_after = std::chrono::seconds(2);
  // Slots per second by which `observed_slots` recovers after an endpoint has
  // shed a request.
  double slot_recovery = 0.5;
  // Requests that are not urgent are granted at up to `pace_factor` times the
  // rate that the slots can serve, after a burst of `pace_burst` grants.
  // Without this, slots that are freed together are granted together and are
  // all busy until they are freed together again; with it, urgent requests
  // soon find a free slot.
  double pace_factor = 1.15;
  double pace_burst = 2.0;
  // Time constant of the moving mean of slots in use that limits requests of
  // other regions.
  Duration use_average = std::chrono::seconds(1);
  // A request is refused if its expected wait exceeds this fraction of its
  // remaining time minus the mean time of a use.
  double wait_share_of_budget = 0.8;
  // Assumed time of a use until one has been observed.
  Duration initial_use_estimate = std::chrono::milliseconds(50);
  // A granter that has just taken over waits this long for entry hosts to
  // report what is running.
  Duration takeover_pause = std::chrono::milliseconds(300);
  size_t max_queue = 20000;
  // Requests with the same fingerprint run on at most this many endpoints at
  // once.
  size_t max_copy_endpoints = 2;
};

struct Granter {
  GranterLimits limits;
  ServiceId service;
  ZoneId zone;
  RegionId region;
  PerPriority<double> least_shares{};
  // Fraction of the slots that requests of other regions may not use.
  double headroom = 0;
  // Fraction of the slots that this granter may use; below 1 while it does not
  // hear the zone whose hosts usually grant.
  double slot_share = 1.0;

  struct EndpointState {
    Endpoint endpoint;
    std::unordered_set<ExchangeRef, ExchangeRefHash> running;
    std::set<HostId> connected;  // Entry hosts with a pooled connection.
    Time next_connect;
    bool runs_suspect = false;
    uint64_t deaths = 0;
    // The endpoint has answered since its last crash.
    bool answered = true;
    // Slots that this granter can use on the endpoint. Reduced when the
    // endpoint sheds, because other granters use its slots as well, and
    // recovers at `slot_recovery`.
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
  // Number of running requests per endpoint, by fingerprint.
  using Copies = std::map<EndpointId, size_t>;
  std::unordered_map<Fingerprint, Copies> copies;
  // May contain cancelled requests; those still waiting are in `queued`.
  PerPriority<CallerQueue> queues;
  std::unordered_set<ExchangeRef, ExchangeRefHash> queued;
  PerPriority<size_t> held{};  // Slots in use.
  PerPriority<double> mean_use_seconds{};
  ShareAccounts shares;
  // Theoretical arrival time of the next paced grant, as in the generic cell
  // rate algorithm.
  Time paced_until;
  Time active_since;
  Time next_audit;
  // Moving mean of `held`, which limits requests of other regions.
  PerPriority<double> mean_held{};
  Time mean_held_at;
};

// Replaces the list of endpoints. Endpoints that are no longer listed get no
// new work and are removed when their last request ends.
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

// Releases the slots and queue entries of a dead host.
void OnHostDied(Granter& g, const HostId& host);

// Grants slots that have become usable, refuses requests that can no longer
// meet their deadline, and audits old grants. Called every few milliseconds
// while requests are queued.
std::vector<Envelope> OnGranterTick(Granter& g, PoisonList& poison, Time now);

bool HasWaiting(const Granter& g);

// Earliest time at which a paced request can be granted, at most `latest`.
Time NextPacedGrant(const Granter& g, Time latest, Time now);

// Number of slots on endpoints that can take new work.
double HealthySlots(const Granter& g, Time now);

}  // namespace sassafras

#endif  // DECISIONS_GRANTER_H_
