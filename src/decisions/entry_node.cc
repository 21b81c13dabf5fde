#include "decisions/entry_node.h"

#include <algorithm>
#include <utility>

#include "decisions/entry_parts.h"

namespace sassafras {

namespace {

// Exchange IDs hold the incarnation in their upper 32 bits.
constexpr int kIncarnationShift = 32;

}  // namespace

namespace entry_parts {

namespace {

std::set<ZoneId> LostZones(const EntryNode& node,
                           const ServiceId& service,
                           Time now) {
  std::set<ZoneId> zones_with_endpoints;
  const auto it = node.endpoints.find(service);
  if (it != node.endpoints.end()) {
    for (const Endpoint& e : it->second.endpoints) {
      if (!e.leaving && node.leaving_endpoints.count(e.id) == 0)
        zones_with_endpoints.insert(e.zone);
    }
  }
  std::set<ZoneId> lost;
  for (const Zone& zone : node.topology.zones) {
    if (zones_with_endpoints.count(zone.id) == 0 ||
        !IsZoneLive(node.membership, zone.id, now))
      lost.insert(zone.id);
  }
  return lost;
}

void RefreshFlows(EventRun& run) {
  EntryNode& node = run.node;
  const bool starting = run.now - node.started < node.limits.start_grace;
  for (const auto& [service, plan] : node.plans) {
    EntryNode::Routing& routing = node.routing[service];
    UpdateZoneTracker(routing.tracker, plan, LostZones(node, service, run.now),
                      starting, run.now);
    routing.shares = ComputeShares(plan, routing.tracker);
    routing.row =
        ComputeFlow(plan, routing.shares, node.topology, node.self.zone);
  }
}

// Whether any host's state differs from that of the last tick.
bool MembershipChanged(EventRun& run) {
  EntryNode& node = run.node;
  std::map<HostId, HostState> states;
  std::vector<HostId> died;
  for (const auto& [id, host] : node.membership.listed) {
    const HostState state = StateOf(node.membership, id, run.now);
    states[id] = state;
    const auto before = node.states.find(id);
    if (state == HostState::kDead && before != node.states.end() &&
        before->second != HostState::kDead) {
      died.push_back(id);
    }
  }
  const bool changed = states != node.states;
  node.states = std::move(states);
  for (const HostId& it : died) {
    Log(run, "members", "Host timed out. host=" + it.value());
    DropStateOfHost(run, it);
  }
  return changed;
}

// Updates the endpoints whose leaving time in the intent has passed. Returns
// whether the set changed.
bool UpdateLeaving(EntryNode& node) {
  std::set<EndpointId> leaving;
  const int64_t now = node.wall.time_since_epoch().count();
  for (const LeavingEndpoint& it : node.intent.leaving) {
    if (it.at_unix_seconds <= now)
      leaving.insert(it.endpoint);
  }
  if (leaving == node.leaving_endpoints)
    return false;
  node.leaving_endpoints = std::move(leaving);
  return true;
}

void StopTick(EventRun& run) {
  EntryNode& node = run.node;
  if (!node.stopping || node.exited)
    return;
  const Duration stopping_for = run.now - node.stop_began;
  if (stopping_for < node.limits.min_stop_time)
    return;
  if (!node.exchanges.empty())
    return;
  const bool handed_over =
      !HoldsAnyShard(KeyContext(run)) && node.outcomes.empty();
  if (!handed_over && stopping_for < node.limits.max_stop_time)
    return;
  node.exited = true;
  Log(run, "entry", "Shutdown is complete.");
  run.actions.push_back(Exit{});
}

void Tick(EventRun& run) {
  EntryNode& node = run.node;
  for (auto& [key, g] : node.granters) {
    if (HasWaiting(g))
      SendAll(run, OnGranterTick(g, node.poison, run.now));
  }
  if (run.now < node.next_tick)
    return;
  node.next_tick = run.now + node.limits.tick;
  const bool changed = MembershipChanged(run);
  const bool left_changed = UpdateLeaving(node);
  const bool ramping =
      std::any_of(node.routing.begin(), node.routing.end(), [](const auto& it) {
        const auto& zones = it.second.tracker.zones;
        return std::any_of(zones.begin(), zones.end(), [](const auto& z) {
          return z.second.restored_share < 1.0;
        });
      });
  if (changed || left_changed || ramping)
    RefreshRouting(run);
  SpreadTick(run);
  RequestsTick(run);
  SlotsTick(run);
  KeysTick(run);
  StopTick(run);
}

void HandleMessage(EventRun& run, const HostId& from, const Message& message) {
  if (const auto* it = std::get_if<Heartbeat>(&message))
    HandleHeartbeat(run, from, *it);
  else if (const auto* it = std::get_if<DocumentSummary>(&message))
    HandleDocumentSummary(run, from, *it);
  else if (const auto* it = std::get_if<DocumentBatch>(&message))
    HandleDocumentBatch(run, from, *it);
  else if (const auto* it = std::get_if<HostReport>(&message))
    HandleHostReport(run, *it);
  else if (const auto* it = std::get_if<SlotRequest>(&message))
    HandleSlotRequest(run, from, *it);
  else if (const auto* it = std::get_if<SlotGrant>(&message))
    HandleSlotGrant(run, from, *it);
  else if (const auto* it = std::get_if<SlotRefusal>(&message))
    HandleSlotRefusal(run, *it);
  else if (const auto* it = std::get_if<SlotRelease>(&message))
    HandleSlotRelease(run, from, *it);
  else if (const auto* it = std::get_if<SlotAudit>(&message))
    HandleSlotAudit(run, from, *it);
  else if (const auto* it = std::get_if<PoisonNotice>(&message))
    OnPoisonNotice(run.node.poison, *it, run.now);
  else if (const auto* it = std::get_if<KeyGrant>(&message))
    HandleKeyGrant(run, *it);
  else if (const auto* it = std::get_if<KeyRefusal>(&message))
    HandleKeyRefusal(run, *it);
  else if (const auto* it = std::get_if<KeyAnswer>(&message))
    HandleKeyAnswer(run, *it);
  else if (const auto* it = std::get_if<KeyCompleted>(&message))
    HandleKeyCompleted(run, *it);
  else
    HandleLedgerMessage(run, from, message);
}

void HandleStopRequested(EventRun& run) {
  EntryNode& node = run.node;
  if (node.stopping)
    return;
  node.stopping = true;
  node.stop_began = run.now;
  node.membership.leaving = true;
  // Sent to every host directly; forwarding from zone to zone would be slower.
  Heartbeat heartbeat;
  heartbeat.incarnation = node.membership.incarnation;
  heartbeat.leaving = true;
  heartbeat.digest = node.replica.digest;
  for (const auto& [id, host] : node.membership.listed) {
    if (id != node.self.id)
      Send(run, id, heartbeat);
  }
  node.next_report = run.now;
  node.next_tick = run.now;
  Log(run, "entry", "Stop requested; shutting down.");
  Tick(run);
}

void HandleTimer(EventRun& run, const TimerFired& fired) {
  run.node.wall = std::max(run.node.wall, fired.wall);
  Tick(run);
}

void HandleEvent(EventRun& run, const EntryEvent& event) {
  if (const auto* it = std::get_if<PeerMessage>(&event))
    HandleMessage(run, it->from, it->message);
  else if (const auto* it = std::get_if<StoreObjects>(&event))
    HandleStoreObjects(run, *it);
  else if (const auto* it = std::get_if<StatusWritten>(&event))
    HandleStatusWritten(run, *it);
  else if (const auto* it = std::get_if<CallArrived>(&event))
    HandleCallArrived(run, *it);
  else if (const auto* it = std::get_if<CallerGone>(&event))
    HandleCallerGone(run, *it);
  else if (const auto* it = std::get_if<DispatchEnded>(&event))
    HandleDispatchEnded(run, *it);
  else if (std::get_if<StopRequested>(&event))
    HandleStopRequested(run);
  else if (const auto* it = std::get_if<TimerFired>(&event))
    HandleTimer(run, *it);
}

void DeliverLocal(EventRun& run) {
  while (!run.local.empty()) {
    std::vector<Message> batch;
    batch.swap(run.local);
    for (const Message& it : batch)
      HandleMessage(run, run.node.self.id, it);
  }
}

// Sets the timer again if it has fired or has to fire at another time.
void ArmTimer(EventRun& run, bool fired) {
  EntryNode& node = run.node;
  Time due = node.next_tick;
  const Time latest = run.now + node.limits.slot_tick;
  for (const auto& [key, g] : node.granters) {
    if (HasWaiting(g))
      due = std::min(due, NextPacedGrant(g, latest, run.now));
  }
  if (!fired && node.timer <= due && node.timer > run.now)
    return;
  node.timer = due;
  run.actions.push_back(SetTimer{due});
}

}  // namespace

void Send(EventRun& run, const HostId& to, Message message) {
  if (to.empty())
    return;
  if (to == run.node.self.id)
    run.local.push_back(std::move(message));
  else
    run.actions.push_back(Envelope{to, std::move(message)});
}

void SendAll(EventRun& run, std::vector<Envelope> envelopes) {
  for (Envelope& it : envelopes)
    Send(run, it.to, std::move(it.message));
}

void Log(EventRun& run, const char* part, std::string text) {
  run.actions.push_back(LogEvent{part, std::move(text)});
}

void RefreshRouting(EventRun& run) {
  EntryNode& node = run.node;
  node.granting_hosts.clear();
  UpdateLeaving(node);
  ConfigureGranters(run);
  RefreshFlows(run);
  node.lookup = BuildLookupTable(node.membership, node.views, run.now);
}

}  // namespace entry_parts

EntryNode::EntryNode(Topology topology_in, Host self_in, uint64_t seed)
    : topology(std::move(topology_in)), self(std::move(self_in)), random(seed) {
  membership.self = self;
  membership.listed[self.id] = self;
  membership.incarnation = (random() >> kIncarnationShift) | 1;
  ledger.region = self.region;
}

std::vector<EntryAction> StartEntry(EntryNode& node, Time now) {
  node.started = now;
  node.last_report = now;
  node.next_tick = now;
  return Handle(node, TimerFired{}, now);
}

std::vector<EntryAction> Handle(EntryNode& node,
                                const EntryEvent& event,
                                Time now) {
  entry_parts::EventRun run{node, now, {}, {}};
  entry_parts::HandleEvent(run, event);
  entry_parts::DeliverLocal(run);
  entry_parts::ArmTimer(run, std::holds_alternative<TimerFired>(event));
  return std::move(run.actions);
}

ExchangeId NewExchange(EntryNode& node) {
  const uint64_t upper = node.membership.incarnation << kIncarnationShift;
  return ExchangeId(upper | ++node.next_exchange);
}

uint64_t IncarnationOf(ExchangeId exchange) {
  return exchange.value() >> kIncarnationShift;
}

bool IsReady(const EntryNode& node) {
  return node.joined && node.has_intent && !node.plans.empty();
}

LookupAnswer AnswerLookup(EntryNode& node, uint32_t client_ip) {
  if (!IsReady(node))
    return LookupAnswer();
  return LookUp(node.lookup, node.topology, client_ip, node.random());
}

}  // namespace sassafras
