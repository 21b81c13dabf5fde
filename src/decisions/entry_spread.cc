#include <algorithm>
#include <utility>

#include "decisions/entry_parts.h"
#include "decisions/json_forms.h"

namespace sassafras::entry_parts {

namespace {

constexpr Duration kMinSummaryInterval = std::chrono::milliseconds(300);
constexpr Duration kMaxReportAge = std::chrono::seconds(6);
constexpr double kSampleWeight = 0.3;

template <typename T, typename Fn>
void ApplyPayload(EventRun& run, const Document& document, Fn&& apply) {
  std::optional<T> value = TryReadPayload<T>(document.payload);
  if (value)
    apply(std::move(*value));
  else
    Log(run, "spread", "Malformed document ignored. name=" + document.key.name);
}

void ApplyHosts(EventRun& run, HostList list) {
  run.node.hosts = std::move(list);
  SetListedHosts(run.node.membership, run.node.hosts);
}

void ApplyViews(EventRun& run, RegionViews views) {
  EntryNode& node = run.node;
  const RegionId region = views.region;
  node.views[region] = std::move(views);
  if (region == node.self.region)
    OnViewsChanged(node.ledger, KeyContext(run));
}

// Applies an accepted document to the node.
void ApplyDocument(EventRun& run, const Document& document) {
  EntryNode& node = run.node;
  switch (document.key.kind) {
    case DocumentKind::kHosts:
      ApplyPayload<HostList>(run, document, [&](HostList list) {
        ApplyHosts(run, std::move(list));
      });
      return;
    case DocumentKind::kEndpoints:
      ApplyPayload<EndpointList>(run, document, [&](EndpointList list) {
        const ServiceId service = list.service;
        node.endpoints[service] = std::move(list);
      });
      return;
    case DocumentKind::kIntent:
      ApplyPayload<Intent>(run, document, [&](Intent intent) {
        node.intent = std::move(intent);
        node.has_intent = true;
        Log(run, "spread",
            "Intent applied. version=" +
                std::to_string(node.intent.version.value()));
      });
      return;
    case DocumentKind::kPlan:
      ApplyPayload<ServicePlan>(run, document, [&](ServicePlan plan) {
        node.plans[ServiceId(document.key.name)] = std::move(plan);
      });
      return;
    case DocumentKind::kViews:
      ApplyPayload<RegionViews>(run, document, [&](RegionViews views) {
        ApplyViews(run, std::move(views));
      });
      return;
  }
}

std::vector<Document> AcceptDocuments(EventRun& run,
                                      const std::vector<Document>& documents) {
  std::vector<Document> accepted;
  for (const Document& it : documents) {
    if (!Accept(run.node.replica, it, run.now))
      continue;
    ApplyDocument(run, it);
    accepted.push_back(it);
  }
  if (!accepted.empty())
    RefreshRouting(run);
  return accepted;
}

void PushToZone(EventRun& run, const std::vector<Document>& documents) {
  EntryNode& node = run.node;
  if (documents.empty())
    return;
  for (const Host& it : AnsweringHosts(node.membership, run.now)) {
    if (it.zone == node.self.zone && it.id != node.self.id)
      Send(run, it.id, DocumentBatch{documents});
  }
}

void PushToControl(EventRun& run, const std::vector<Document>& documents) {
  if (!run.node.control.empty() && !documents.empty())
    Send(run, run.node.control, DocumentBatch{documents});
}

void FollowStoreIfRelay(EventRun& run) {
  EntryNode& node = run.node;
  // A starting host follows the store even if it is not a relay, until it has
  // joined.
  const bool follow = IsRelay(node.membership, run.now) || !node.joined;
  if (follow == node.follows_store)
    return;
  node.follows_store = follow;
  run.actions.push_back(FollowStore{follow});
}

HostReport OwnReport(const EventRun& run) {
  const EntryNode& node = run.node;
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
    if (GranterOf(node, key.first, key.second, run.now) != node.self.id)
      continue;
    report.slots.push_back({key.first, key.second,
                            HealthySlots(granter, run.now),
                            static_cast<double>(granter.grants.size())});
  }
  report.synced = SyncedShards(node.ledger, KeyContext(run));
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
        kSampleWeight * (rate - counter.requests_per_second);
  }
}

void ReportIfDue(EventRun& run) {
  EntryNode& node = run.node;
  if (run.now < node.next_report)
    return;
  node.next_report = run.now + node.limits.report_period;
  UpdateDemand(node, run.now);
  HostReport report = OwnReport(run);
  const std::vector<HostId> relays =
      RelaysOfZone(node.membership, node.self.zone, run.now);
  if (!relays.empty())
    Send(run, relays.front(), std::move(report));
}

void WriteStatusIfDue(EventRun& run) {
  EntryNode& node = run.node;
  if (run.now < node.next_status || node.status_in_flight ||
      !IsZoneReporter(node.membership, run.now)) {
    return;
  }
  node.next_status = run.now + node.limits.status_period;
  ZoneStatus status;
  status.zone = node.self.zone;
  status.reporter = node.self.id;
  status.sequence = ++node.status_sequence;
  for (const auto& [host, entry] : node.reports) {
    if (run.now - entry.first <= kMaxReportAge)
      status.hosts.push_back(entry.second);
  }
  WriteStatus write;
  write.put.kind = kStatusKind;
  write.put.name = node.self.zone.value();
  write.put.expected_revision = node.status_revision;
  write.put.value = Json(status).dump();
  node.status_in_flight = true;
  run.actions.push_back(std::move(write));
}

}  // namespace

void HandleStoreObjects(EventRun& run, const StoreObjects& objects) {
  std::vector<Document> documents;
  for (const StoreObject& it : objects.objects) {
    std::optional<Document> document = DocumentOf(objects.kind, it);
    if (document)
      documents.push_back(std::move(*document));
    else
      Log(run, "spread", "Malformed store object ignored. name=" + it.name);
  }
  const std::vector<Document> accepted = AcceptDocuments(run, documents);
  PushToZone(run, accepted);
  PushToControl(run, accepted);
  if (objects.complete && objects.kind == DocumentKind::kIntent)
    run.node.joined = true;
}

void HandleDocumentBatch(EventRun& run,
                         const HostId& from,
                         const DocumentBatch& batch) {
  const std::vector<Document> accepted = AcceptDocuments(run, batch.documents);
  if (from != run.node.control)
    PushToControl(run, accepted);
}

void HandleDocumentSummary(EventRun& run,
                           const HostId& from,
                           const DocumentSummary& summary) {
  const Replica& replica = run.node.replica;
  std::vector<Document> newer = NewerThan(replica, summary.versions);
  const bool lacks = LacksAny(replica, summary.versions);
  if (!newer.empty())
    Send(run, from, DocumentBatch{std::move(newer)});
  if (lacks)
    Send(run, from, DocumentSummary{Summarize(replica)});
}

void HandleHeartbeat(EventRun& run,
                     const HostId& from,
                     const Heartbeat& heartbeat) {
  EntryNode& node = run.node;
  if (OnHeartbeat(node.membership, from, heartbeat, run.now))
    DropStateOfHost(run, from);
  if (heartbeat.digest == node.replica.digest) {
    node.joined = node.joined || node.has_intent;
    return;
  }
  Time& sent = node.summary_sent[from];
  if (sent != Time() && run.now - sent < kMinSummaryInterval)
    return;
  sent = run.now;
  Send(run, from, DocumentSummary{Summarize(node.replica)});
}

void HandleHostReport(EventRun& run, const HostReport& report) {
  run.node.reports[report.host] = {run.now, report};
}

void HandleStatusWritten(EventRun& run, const StatusWritten& written) {
  EntryNode& node = run.node;
  node.status_in_flight = false;
  // After a conflict the reply contains the current object. The next write
  // expects the revision of that object and replaces it.
  if (!written.reply.objects.empty())
    node.status_revision = written.reply.objects.front().revision;
  else if (written.reply.status == StoreStatus::kNotFound)
    node.status_revision = 0;
}

void SpreadTick(EventRun& run) {
  EntryNode& node = run.node;
  FollowStoreIfRelay(run);
  std::vector<Envelope> heartbeats =
      DueHeartbeats(node.membership, node.replica.digest, run.now);
  if (!heartbeats.empty() && !node.control.empty()) {
    Heartbeat heartbeat;
    heartbeat.incarnation = node.membership.incarnation;
    heartbeat.leaving = node.stopping;
    heartbeat.digest = node.replica.digest;
    heartbeat.relay = IsRelay(node.membership, run.now);
    heartbeat.zones = DescribeZones(node.membership, run.now);
    heartbeats.push_back({node.control, std::move(heartbeat)});
  }
  SendAll(run, std::move(heartbeats));
  ReportIfDue(run);
  WriteStatusIfDue(run);
}

}  // namespace sassafras::entry_parts
