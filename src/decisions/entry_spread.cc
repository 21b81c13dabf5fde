#include <algorithm>
#include <utility>

#include "decisions/entry_parts.h"
#include "decisions/json_forms.h"

namespace sassafras::entry_parts {

namespace {

constexpr Duration kSummaryPause = std::chrono::milliseconds(300);
constexpr Duration kReportAge = std::chrono::seconds(6);
constexpr double kMeanWeight = 0.3;

template <typename T, typename Fn>
void Adopt(Turn& turn, const Document& document, Fn&& adopt) {
  std::optional<T> value = TryReadPayload<T>(document.payload);
  if (value)
    adopt(std::move(*value));
  else
    Log(turn, "spread", "Document is malformed. name=" + document.key.name);
}

void AdoptHosts(Turn& turn, HostList list) {
  turn.node.hosts = std::move(list);
  SetListedHosts(turn.node.membership, turn.node.hosts);
}

void AdoptViews(Turn& turn, RegionViews views) {
  EntryNode& node = turn.node;
  const RegionId region = views.region;
  node.views[region] = std::move(views);
  if (region == node.self.region)
    OnViewsChanged(node.ledger, KeyContext(turn));
}

// Puts an accepted document into force.
void PutInForce(Turn& turn, const Document& document) {
  EntryNode& node = turn.node;
  switch (document.key.kind) {
    case DocumentKind::kHosts:
      Adopt<HostList>(turn, document, [&](HostList list) {
        AdoptHosts(turn, std::move(list));
      });
      return;
    case DocumentKind::kEndpoints:
      Adopt<EndpointList>(turn, document, [&](EndpointList list) {
        const ServiceId service = list.service;
        node.endpoints[service] = std::move(list);
      });
      return;
    case DocumentKind::kIntent:
      Adopt<Intent>(turn, document, [&](Intent intent) {
        node.intent = std::move(intent);
        node.has_intent = true;
        Log(turn, "spread",
            "Intent is in force. version=" +
                std::to_string(node.intent.version.value()));
      });
      return;
    case DocumentKind::kPlan:
      Adopt<ServicePlan>(turn, document, [&](ServicePlan plan) {
        node.plans[ServiceId(document.key.name)] = std::move(plan);
      });
      return;
    case DocumentKind::kViews:
      Adopt<RegionViews>(turn, document, [&](RegionViews views) {
        AdoptViews(turn, std::move(views));
      });
      return;
  }
}

std::vector<Document> TakeDocuments(Turn& turn,
                                    const std::vector<Document>& documents) {
  std::vector<Document> taken;
  for (const Document& it : documents) {
    if (!Accept(turn.node.replica, it, turn.now))
      continue;
    PutInForce(turn, it);
    taken.push_back(it);
  }
  if (!taken.empty())
    RefreshRouting(turn);
  return taken;
}

void PushToZone(Turn& turn, const std::vector<Document>& documents) {
  EntryNode& node = turn.node;
  if (documents.empty())
    return;
  for (const Host& it : AnsweringHosts(node.membership, turn.now)) {
    if (it.zone == node.self.zone && it.id != node.self.id)
      Send(turn, it.id, DocumentBatch{documents});
  }
}

void PushToControl(Turn& turn, const std::vector<Document>& documents) {
  if (!turn.node.control.empty() && !documents.empty())
    Send(turn, turn.node.control, DocumentBatch{documents});
}

void FollowStoreIfRelay(Turn& turn) {
  EntryNode& node = turn.node;
  // A newcomer asks the store itself until it has joined.
  const bool follow = IsRelay(node.membership, turn.now) || !node.joined;
  if (follow == node.follows_store)
    return;
  node.follows_store = follow;
  turn.actions.push_back(FollowStore{follow});
}

HostReport OwnReport(const Turn& turn) {
  const EntryNode& node = turn.node;
  HostReport report;
  report.host = node.self.id;
  report.region = node.self.region;
  report.zone = node.self.zone;
  report.leaving = node.stopping;
  report.intent_version = node.intent.version;
  for (const auto& [key, counter] : node.demand) {
    report.demand.push_back({key.first, key.second, counter.requests_per_second,
                             counter.service_seconds});
  }
  for (const auto& [key, granter] : node.granters) {
    if (GranterOf(node, key.first, key.second, turn.now) != node.self.id)
      continue;
    report.slots.push_back({key.first, key.second,
                            HealthySlots(granter, turn.now),
                            static_cast<double>(granter.grants.size())});
  }
  report.synced = SyncedShards(node.ledger, KeyContext(turn));
  return report;
}

void UpdateDemand(EntryNode& node, Time now) {
  const double elapsed = Seconds(now - node.last_report);
  node.last_report = now;
  if (elapsed <= 0)
    return;
  for (auto& [key, counter] : node.demand) {
    const double rate = counter.arrivals / elapsed;
    counter.arrivals = 0;
    counter.requests_per_second +=
        kMeanWeight * (rate - counter.requests_per_second);
  }
}

void ReportIfDue(Turn& turn) {
  EntryNode& node = turn.node;
  if (turn.now < node.next_report)
    return;
  node.next_report = turn.now + node.limits.report_period;
  UpdateDemand(node, turn.now);
  HostReport report = OwnReport(turn);
  const std::vector<HostId> relays =
      RelaysOfZone(node.membership, node.self.zone, turn.now);
  if (!relays.empty())
    Send(turn, relays.front(), std::move(report));
}

void WriteStatusIfDue(Turn& turn) {
  EntryNode& node = turn.node;
  if (turn.now < node.next_status || node.status_in_flight ||
      !IsZoneReporter(node.membership, turn.now)) {
    return;
  }
  node.next_status = turn.now + node.limits.status_period;
  ZoneStatus status;
  status.zone = node.self.zone;
  status.reporter = node.self.id;
  status.sequence = ++node.status_sequence;
  for (const auto& [host, entry] : node.reports) {
    if (turn.now - entry.first <= kReportAge)
      status.hosts.push_back(entry.second);
  }
  WriteStatus write;
  write.put.kind = kStatusKind;
  write.put.name = node.self.zone.value();
  write.put.expected_revision = node.status_revision;
  write.put.value = Json(status).dump();
  node.status_in_flight = true;
  turn.actions.push_back(std::move(write));
}

}  // namespace

void TakeObjects(Turn& turn, const StoreObjects& objects) {
  std::vector<Document> documents;
  for (const StoreObject& it : objects.objects) {
    std::optional<Document> document = DocumentOf(objects.kind, it);
    if (document)
      documents.push_back(std::move(*document));
    else
      Log(turn, "spread", "Store object is malformed. name=" + it.name);
  }
  const std::vector<Document> taken = TakeDocuments(turn, documents);
  PushToZone(turn, taken);
  PushToControl(turn, taken);
  if (objects.complete && objects.kind == DocumentKind::kIntent)
    turn.node.joined = true;
}

void TakeBatch(Turn& turn, const HostId& from, const DocumentBatch& batch) {
  const std::vector<Document> taken = TakeDocuments(turn, batch.documents);
  if (from != turn.node.control)
    PushToControl(turn, taken);
}

void TakeSummary(Turn& turn,
                 const HostId& from,
                 const DocumentSummary& summary) {
  const Replica& replica = turn.node.replica;
  std::vector<Document> newer = NewerThan(replica, summary.versions);
  const bool lacks = LacksAny(replica, summary.versions);
  if (!newer.empty())
    Send(turn, from, DocumentBatch{std::move(newer)});
  if (lacks)
    Send(turn, from, DocumentSummary{Summarize(replica)});
}

void TakeHeartbeat(Turn& turn, const HostId& from, const Heartbeat& beat) {
  EntryNode& node = turn.node;
  if (OnHeartbeat(node.membership, from, beat, turn.now))
    ForgetHost(turn, from);
  if (beat.digest == node.replica.digest) {
    node.joined = node.joined || node.has_intent;
    return;
  }
  Time& sent = node.summary_sent[from];
  if (sent != Time() && turn.now - sent < kSummaryPause)
    return;
  sent = turn.now;
  Send(turn, from, DocumentSummary{Summarize(node.replica)});
}

void TakeReport(Turn& turn, const HostReport& report) {
  turn.node.reports[report.host] = {turn.now, report};
}

void TakeStatusWritten(Turn& turn, const StatusWritten& written) {
  EntryNode& node = turn.node;
  node.status_in_flight = false;
  // After a conflict the reply holds the present state, which the next write
  // replaces.
  if (!written.reply.objects.empty())
    node.status_revision = written.reply.objects.front().revision;
  else if (written.reply.status == StoreStatus::kNotFound)
    node.status_revision = 0;
}

void SpreadTick(Turn& turn) {
  EntryNode& node = turn.node;
  FollowStoreIfRelay(turn);
  std::vector<Envelope> beats =
      DueHeartbeats(node.membership, node.replica.digest, turn.now);
  if (!beats.empty() && !node.control.empty()) {
    Heartbeat beat;
    beat.incarnation = node.membership.incarnation;
    beat.leaving = node.stopping;
    beat.digest = node.replica.digest;
    beat.relay = IsRelay(node.membership, turn.now);
    beat.zones = DescribeZones(node.membership, turn.now);
    beats.push_back({node.control, std::move(beat)});
  }
  SendAll(turn, std::move(beats));
  ReportIfDue(turn);
  WriteStatusIfDue(turn);
}

}  // namespace sassafras::entry_parts
