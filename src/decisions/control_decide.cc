#include <algorithm>
#include <utility>

#include "decisions/control_parts.h"
#include "decisions/json_forms.h"

namespace sassafras::control_parts {

namespace {

constexpr double kEqualClassFraction = 1.0 / kPriorityCount;

bool IsReporting(const ControlNode& node, const ZoneId& zone, Time now) {
  const auto it = node.statuses.find(zone);
  return it != node.statuses.end() &&
         now - it->second.changed <= node.limits.report_timeout;
}

bool HasRecentMembership(const ControlNode& node,
                         const ZoneId& zone,
                         Time now) {
  const auto it = node.zone_memberships.find(zone);
  if (it == node.zone_memberships.end() || it->second.second.up.empty())
    return false;
  const Duration age = now - it->second.first +
                       std::chrono::milliseconds(it->second.second.age_ms);
  return age <= node.limits.report_timeout;
}

// A zone is lost if there is neither a recent host list from it nor a recent
// report. One of the two is enough for a zone to count as serving: a zone may
// have stopped only its reports, or be unreachable only from this region.
bool IsZoneLost(const ControlNode& node, const ZoneId& zone, Time now) {
  return !HasRecentMembership(node, zone, now) && !IsReporting(node, zone, now);
}

struct HostSets {
  std::set<HostId> answering;
  std::set<HostId> leaving;
};

HostSets KnownHosts(const ControlNode& node, Time now) {
  HostSets out;
  for (const auto& [zone, timed_membership] : node.zone_memberships) {
    if (!HasRecentMembership(node, zone, now))
      continue;
    out.answering.insert(timed_membership.second.up.begin(),
                         timed_membership.second.up.end());
    out.leaving.insert(timed_membership.second.leaving.begin(),
                       timed_membership.second.leaving.end());
  }
  for (const auto& [zone, reports] : node.statuses) {
    if (!IsReporting(node, zone, now))
      continue;
    for (const HostReport& it : reports.status.hosts) {
      out.answering.insert(it.host);
      if (it.leaving)
        out.leaving.insert(it.host);
    }
  }
  return out;
}

template <typename T>
std::optional<T> ReadDocument(const ControlNode& node, const DocumentKey& key) {
  const Replica::Entry* entry = Find(node.replica, key);
  if (!entry)
    return std::nullopt;
  return TryReadPayload<T>(entry->document.payload);
}

void WriteDocument(EventRun& run, const DocumentKey& key, std::string payload) {
  StorePut put;
  put.kind = std::string(NameOf(key.kind));
  put.name = key.name;
  const auto it = run.node.revisions.find(key);
  put.expected_revision = it == run.node.revisions.end() ? 0 : it->second;
  put.value = std::move(payload);
  CallStore(run, std::move(put));
}

// Returns whether the store has the newest version of the document that this
// process knows. If the store has an older one, for example because it was
// restored from a backup, writes the newest version back. A caller must not
// derive a new version from the newest one until the store has the newest one.
bool EnsureStoreCurrent(EventRun& run, const DocumentKey& key) {
  const Replica::Entry* entry = Find(run.node.replica, key);
  if (!entry)
    return true;
  const auto it = run.node.stored_versions.find(key);
  if (it != run.node.stored_versions.end() &&
      it->second >= entry->document.version) {
    return true;
  }
  Log(run,
      "Store has an older version; writing the newest version back. document=" +
          key.name);
  WriteDocument(run, key, entry->document.payload);
  return false;
}

// ---- Views ----

ViewChangeInput ViewInput(const ControlNode& node,
                          const HostList& hosts,
                          const RegionId& region,
                          Time now) {
  const HostSets known = KnownHosts(node, now);
  ViewChangeInput input;
  for (const Host& it : hosts.hosts) {
    if (it.region != region || known.answering.count(it.id) == 0)
      continue;
    if (it.leaving || known.leaving.count(it.id))
      input.leaving.insert(it.id);
    else
      input.live.push_back(it);
  }
  for (const auto& [zone, reports] : node.statuses) {
    if (!IsReporting(node, zone, now))
      continue;
    for (const HostReport& report : reports.status.hosts) {
      if (report.region != region)
        continue;
      for (const SyncedShard& it : report.synced) {
        ViewNumber& view = input.synced[it.shard];
        view = std::max(view, it.view);
      }
    }
  }
  return input;
}

// Whether the first views of a region can be computed: all its listed hosts
// are live or leaving, or this process has been the leader for
// `report_timeout`.
bool IsRegionComplete(const EventRun& run,
                      const HostList& hosts,
                      const RegionId& region,
                      const ViewChangeInput& input) {
  const auto listed =
      std::count_if(hosts.hosts.begin(), hosts.hosts.end(),
                    [&](const Host& it) { return it.region == region; });
  const auto answering =
      static_cast<std::ptrdiff_t>(input.live.size() + input.leaving.size());
  return answering >= listed ||
         run.now - run.node.leading_since >= run.node.limits.report_timeout;
}

void DecideViews(EventRun& run, const HostList& hosts) {
  ControlNode& node = run.node;
  for (const RegionId& region : node.topology.regions) {
    const DocumentKey key{DocumentKind::kViews, region.value()};
    if (!EnsureStoreCurrent(run, key))
      continue;
    RegionViews views;
    views.region = region;
    if (Find(node.replica, key)) {
      auto held = ReadDocument<RegionViews>(node, key);
      if (!held)
        continue;
      views = std::move(*held);
    }
    const ViewChangeInput input = ViewInput(node, hosts, region, run.now);
    if (views.shards.empty() && !IsRegionComplete(run, hosts, region, input))
      continue;
    const auto next = ChangeViews(views, input);
    if (next)
      WriteDocument(run, key, Json(*next).dump());
  }
}

// ---- Plans ----

// Updates the estimated demand per service and zone, measured in slots. An
// estimate follows an increase at once and a decrease at a limited rate.
void UpdateDemandEstimates(ControlNode& node, Time now) {
  std::map<std::pair<ServiceId, ZoneId>, double> reported_demand_slots;
  for (const auto& [zone, reports] : node.statuses) {
    if (!IsReporting(node, zone, now))
      continue;
    for (const HostReport& report : reports.status.hosts) {
      for (const DemandSample& it : report.demand)
        reported_demand_slots[{it.service, zone}] +=
            it.requests_per_second * it.service_seconds;
    }
  }
  const double elapsed = node.demand_estimated_at == Time()
                             ? 0
                             : Seconds(now - node.demand_estimated_at);
  node.demand_estimated_at = now;
  const double decay_factor =
      std::max(0.0, 1.0 - node.limits.demand_decay_per_second * elapsed);
  for (auto& [key, slots] : node.estimated_demand_slots)
    slots *= decay_factor;
  for (const auto& [key, slots] : reported_demand_slots) {
    double& estimate = node.estimated_demand_slots[key];
    estimate = std::max(estimate, slots);
  }
}

PerPriority<double> MixOf(const ControlNode& node,
                          const ServiceId& service,
                          Time now) {
  PerPriority<double> slots{};
  double total_slots = 0;
  for (const auto& [zone, reports] : node.statuses) {
    if (!IsReporting(node, zone, now))
      continue;
    for (const HostReport& report : reports.status.hosts) {
      for (const DemandSample& it : report.demand) {
        if (it.service != service)
          continue;
        const double demand_slots = it.requests_per_second * it.service_seconds;
        slots[IndexOf(it.priority)] += demand_slots;
        total_slots += demand_slots;
      }
    }
  }
  for (double& it : slots)
    it = total_slots > 0 ? it / total_slots : kEqualClassFraction;
  return slots;
}

std::map<ZoneId, ZoneMeasure> MeasuresOf(const ControlNode& node,
                                         const ServiceId& service,
                                         Time now) {
  std::map<ZoneId, ZoneMeasure> out;
  for (const auto& [key, slots] : node.estimated_demand_slots) {
    if (key.first == service)
      out[key.second].offered_slots = slots;
  }
  for (const auto& [zone, reports] : node.statuses) {
    if (!IsReporting(node, zone, now))
      continue;
    for (const HostReport& report : reports.status.hosts) {
      for (const SlotSample& it : report.slots) {
        if (it.service == service)
          out[it.zone].healthy_slots = it.healthy_slots;
      }
    }
  }
  return out;
}

// Compares the latest reports of all zones that are not lost and returns the
// age of the oldest one; nullopt if one of these zones has never reported or if
// all zones are lost.
std::optional<Duration> MeasurementAge(const ControlNode& node,
                                       const std::set<ZoneId>& lost,
                                       Time now) {
  std::optional<Duration> oldest;
  for (const Zone& zone : node.topology.zones) {
    if (lost.count(zone.id))
      continue;
    const auto it = node.statuses.find(zone.id);
    if (it == node.statuses.end())
      return std::nullopt;
    const Duration age = now - it->second.changed;
    oldest = std::max(oldest.value_or(age), age);
  }
  return oldest;
}

bool IsLeaving(const Intent& intent, const EndpointId& endpoint) {
  return std::any_of(
      intent.leaving.begin(), intent.leaving.end(),
      [&](const LeavingEndpoint& it) { return it.endpoint == endpoint; });
}

PlannerInput InputFor(const ControlNode& node,
                      const Intent& intent,
                      const ServiceId& service,
                      Time now) {
  PlannerInput in;
  in.topology = &node.topology;
  in.intent = &intent;
  in.service = service;
  in.now = now;
  const auto endpoints = ReadDocument<EndpointList>(
      node, {DocumentKind::kEndpoints, service.value()});
  if (endpoints) {
    for (const Endpoint& it : endpoints->endpoints) {
      if (!it.leaving && !IsLeaving(intent, it.id))
        in.listed_slots[it.zone] += it.slots;
    }
  }
  for (const Zone& zone : node.topology.zones) {
    const bool has_no_slots = in.listed_slots.count(zone.id) == 0;
    if (has_no_slots || IsZoneLost(node, zone.id, now))
      in.lost.insert(zone.id);
  }
  in.measured = MeasuresOf(node, service, now);
  in.mix = MixOf(node, service, now);
  in.measurement_age = MeasurementAge(node, in.lost, now);
  return in;
}

void DecidePlan(EventRun& run, const Intent& intent, const ServiceId& service) {
  ControlNode& node = run.node;
  const DocumentKey key{DocumentKind::kPlan, service.value()};
  if (!EnsureStoreCurrent(run, key))
    return;
  PlannerInput in = InputFor(node, intent, service, run.now);
  std::optional<ServicePlan> last;
  const Replica::Entry* entry = Find(node.replica, key);
  if (entry) {
    last = TryReadPayload<ServicePlan>(entry->document.payload);
    if (!last)
      return;
    in.last = &*last;
    in.last_seen = entry->first_seen;
  }
  const auto next = NextPlan(in, node.limits.planner);
  if (!next)
    return;
  Log(run, "Writing a new plan. service=" + service.value() +
               " version=" + std::to_string(next->version.value()));
  WriteDocument(run, key, Json(*next).dump());
}

}  // namespace

void Decide(EventRun& run) {
  ControlNode& node = run.node;
  UpdateDemandEstimates(node, run.now);
  const auto hosts =
      ReadDocument<HostList>(node, {DocumentKind::kHosts, kSoleDocument});
  // A new leader computes no views until the entry process of its host has sent
  // host lists, for at most `report_timeout`. Without host lists all hosts
  // would appear to be dead.
  const bool may_decide_views =
      run.now - node.leading_since >= node.limits.report_timeout ||
      !node.zone_memberships.empty();
  if (hosts && may_decide_views)
    DecideViews(run, *hosts);
  const DocumentKey key{DocumentKind::kIntent, kSoleDocument};
  if (!EnsureStoreCurrent(run, key))
    return;
  const auto intent = ReadDocument<Intent>(node, key);
  if (!intent)
    return;
  for (const auto& [service, it] : intent->services) {
    if (node.topology.services.count(service))
      DecidePlan(run, *intent, service);
  }
}

}  // namespace sassafras::control_parts
