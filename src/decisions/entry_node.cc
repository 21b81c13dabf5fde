#include "decisions/entry_node.h"

#include <algorithm>
#include <utility>

#include "decisions/entry_parts.h"

namespace sassafras {

namespace {

// Exchange numbers carry the incarnation in their upper half.
constexpr int kIncarnationShift = 32;

}  // namespace

namespace entry_parts {

namespace {

std::set<ZoneId> LostZones(const EntryNode& node,
                           const ServiceId& service,
                           Time now) {
  std::set<ZoneId> fit;
  const auto it = node.endpoints.find(service);
  if (it != node.endpoints.end()) {
    for (const Endpoint& e : it->second.endpoints) {
      if (!e.leaving && node.leaving_endpoints.count(e.id) == 0)
        fit.insert(e.zone);
    }
  }
  std::set<ZoneId> lost;
  for (const Zone& zone : node.topology.zones) {
    if (fit.count(zone.id) == 0 || !IsZoneLive(node.membership, zone.id, now))
      lost.insert(zone.id);
  }
  return lost;
}

void RefreshFlows(Turn& turn) {
  EntryNode& node = turn.node;
  const bool starting = turn.now - node.started < node.limits.start_grace;
  for (const auto& [service, plan] : node.plans) {
    EntryNode::Routing& routing = node.routing[service];
    UpdateZoneWatch(routing.watch, plan, LostZones(node, service, turn.now),
                    starting, turn.now);
    routing.shares = ComputeShares(plan, routing.watch);
    routing.row =
        ComputeFlow(plan, routing.shares, node.topology, node.self.zone);
  }
}

// Whether any host's state differs from that of the last tick.
bool MembershipChanged(Turn& turn) {
  EntryNode& node = turn.node;
  std::map<HostId, HostState> states;
  std::vector<HostId> died;
  for (const auto& [id, host] : node.membership.listed) {
    const HostState state = StateOf(node.membership, id, turn.now);
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
    Log(turn, "members", "Host is silent. host=" + it.value());
    ForgetHost(turn, it);
  }
  return changed;
}

// Endpoints that leave by now, by the intent. Returns whether they changed.
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

void StopTick(Turn& turn) {
  EntryNode& node = turn.node;
  if (!node.stopping || node.exited)
    return;
  const Duration stopping_for = turn.now - node.stop_began;
  if (stopping_for < node.limits.least_stop_time)
    return;
  if (!node.exchanges.empty())
    return;
  const bool handed_over =
      !HoldsAnyShard(KeyContext(turn)) && node.outcomes.empty();
  if (!handed_over && stopping_for < node.limits.most_stop_time)
    return;
  node.exited = true;
  Log(turn, "entry", "Nothing is left to do.");
  turn.actions.push_back(Exit{});
}

void Tick(Turn& turn) {
  EntryNode& node = turn.node;
  for (auto& [key, g] : node.granters) {
    if (HasWaiting(g))
      SendAll(turn, OnGranterTick(g, node.poison, turn.now));
  }
  if (turn.now < node.next_tick)
    return;
  node.next_tick = turn.now + node.limits.tick;
  const bool changed = MembershipChanged(turn);
  const bool left_changed = UpdateLeaving(node);
  const bool ramping =
      std::any_of(node.routing.begin(), node.routing.end(), [](const auto& it) {
        const auto& zones = it.second.watch.zones;
        return std::any_of(zones.begin(), zones.end(), [](const auto& z) {
          return z.second.returned < 1.0;
        });
      });
  if (changed || left_changed || ramping)
    RefreshRouting(turn);
  SpreadTick(turn);
  RequestsTick(turn);
  SlotsTick(turn);
  KeysTick(turn);
  StopTick(turn);
}

void TakeMessage(Turn& turn, const HostId& from, const Message& message) {
  if (const auto* it = std::get_if<Heartbeat>(&message))
    TakeHeartbeat(turn, from, *it);
  else if (const auto* it = std::get_if<DocumentSummary>(&message))
    TakeSummary(turn, from, *it);
  else if (const auto* it = std::get_if<DocumentBatch>(&message))
    TakeBatch(turn, from, *it);
  else if (const auto* it = std::get_if<HostReport>(&message))
    TakeReport(turn, *it);
  else if (const auto* it = std::get_if<SlotRequest>(&message))
    TakeSlotRequest(turn, from, *it);
  else if (const auto* it = std::get_if<SlotGrant>(&message))
    TakeSlotGrant(turn, from, *it);
  else if (const auto* it = std::get_if<SlotRefusal>(&message))
    TakeSlotRefusal(turn, *it);
  else if (const auto* it = std::get_if<SlotRelease>(&message))
    TakeSlotRelease(turn, from, *it);
  else if (const auto* it = std::get_if<SlotAudit>(&message))
    TakeSlotAudit(turn, from, *it);
  else if (const auto* it = std::get_if<PoisonNotice>(&message))
    OnPoisonNotice(turn.node.poison, *it, turn.now);
  else if (const auto* it = std::get_if<KeyGo>(&message))
    TakeKeyGo(turn, *it);
  else if (const auto* it = std::get_if<KeyRefusal>(&message))
    TakeKeyRefusal(turn, *it);
  else if (const auto* it = std::get_if<KeyAnswer>(&message))
    TakeKeyAnswer(turn, *it);
  else if (const auto* it = std::get_if<KeyCompleted>(&message))
    TakeKeyCompleted(turn, *it);
  else
    TakeKeyMessage(turn, from, message);
}

void BeginStop(Turn& turn) {
  EntryNode& node = turn.node;
  if (node.stopping)
    return;
  node.stopping = true;
  node.stop_began = turn.now;
  node.membership.leaving = true;
  // Everyone hears of it at once rather than from zone to zone.
  Heartbeat beat;
  beat.incarnation = node.membership.incarnation;
  beat.leaving = true;
  beat.digest = node.replica.digest;
  for (const auto& [id, host] : node.membership.listed) {
    if (id != node.self.id)
      Send(turn, id, beat);
  }
  node.next_report = turn.now;
  node.next_tick = turn.now;
  Log(turn, "entry", "Stop was requested.");
  Tick(turn);
}

void OnTimer(Turn& turn, const TimerFired& fired) {
  turn.node.wall = std::max(turn.node.wall, fired.wall);
  Tick(turn);
}

void TakeEvent(Turn& turn, const EntryEvent& event) {
  if (const auto* it = std::get_if<PeerMessage>(&event))
    TakeMessage(turn, it->from, it->message);
  else if (const auto* it = std::get_if<StoreObjects>(&event))
    TakeObjects(turn, *it);
  else if (const auto* it = std::get_if<StatusWritten>(&event))
    TakeStatusWritten(turn, *it);
  else if (const auto* it = std::get_if<CallArrived>(&event))
    BeginCall(turn, *it);
  else if (const auto* it = std::get_if<CallerGone>(&event))
    EndCaller(turn, *it);
  else if (const auto* it = std::get_if<DispatchEnded>(&event))
    EndDispatch(turn, *it);
  else if (std::get_if<StopRequested>(&event))
    BeginStop(turn);
  else if (const auto* it = std::get_if<TimerFired>(&event))
    OnTimer(turn, *it);
}

void DeliverLocal(Turn& turn) {
  while (!turn.local.empty()) {
    std::vector<Message> batch;
    batch.swap(turn.local);
    for (const Message& it : batch)
      TakeMessage(turn, turn.node.self.id, it);
  }
}

// Asks for the next timer if its time has changed.
void ArmTimer(Turn& turn, bool fired) {
  EntryNode& node = turn.node;
  Time due = node.next_tick;
  const Time latest = turn.now + node.limits.slot_tick;
  for (const auto& [key, g] : node.granters) {
    if (HasWaiting(g))
      due = std::min(due, NextPacedGrant(g, latest, turn.now));
  }
  if (!fired && node.timer <= due && node.timer > turn.now)
    return;
  node.timer = due;
  turn.actions.push_back(SetTimer{due});
}

}  // namespace

void Send(Turn& turn, const HostId& to, Message message) {
  if (to.empty())
    return;
  if (to == turn.node.self.id)
    turn.local.push_back(std::move(message));
  else
    turn.actions.push_back(Envelope{to, std::move(message)});
}

void SendAll(Turn& turn, std::vector<Envelope> envelopes) {
  for (Envelope& it : envelopes)
    Send(turn, it.to, std::move(it.message));
}

void Log(Turn& turn, const char* part, std::string text) {
  turn.actions.push_back(LogEvent{part, std::move(text)});
}

void RefreshRouting(Turn& turn) {
  EntryNode& node = turn.node;
  node.granting_hosts.clear();
  UpdateLeaving(node);
  ConfigureGranters(turn);
  RefreshFlows(turn);
  node.lookup = BuildLookupTable(node.membership, node.views, turn.now);
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
  entry_parts::Turn turn{node, now, {}, {}};
  entry_parts::TakeEvent(turn, event);
  entry_parts::DeliverLocal(turn);
  entry_parts::ArmTimer(turn, std::holds_alternative<TimerFired>(event));
  return std::move(turn.actions);
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
