#include "gateway/belief_feed.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "platform/platform.h"

namespace sassafras {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(250);
constexpr Duration kOwnHostRetry = std::chrono::seconds(2);

void LogChange(const EndpointChange& change) {
  LogLine(LogLevel::kInfo, "endpoints",
          change.is_new ? "Endpoint is new." : "Endpoint changed.")
      .With("endpoint", change.endpoint->record.id)
      .With("service", change.endpoint->record.service)
      .With("zone", change.endpoint->record.zone)
      .With("from", change.is_new ? "-" : NameOf(change.from))
      .With("to", NameOf(change.endpoint->state))
      .With("warmup_ms", Millis(change.endpoint->record.warmup_left));
}

}  // namespace

BeliefFeed::BeliefFeed(GatewayState& state, std::function<void()> on_config)
    : state_(state),
      on_config_(std::move(on_config)),
      store_(platform::ConnectStore(state.loop, state.settings.store)) {}

void BeliefFeed::Start() {
  store_->set_on_reachable([this](bool reachable) { OnReachable(reachable); });
  follows_.push_back(store_->Follow(
      platform::kConfigKind, [this](const auto& objects, bool) {
        OnConfig(objects);
      }));
  follows_.push_back(store_->Follow(
      platform::kEndpointKind, [this](const auto& objects, bool complete) {
        OnEndpoints(objects, complete);
      }));
  follows_.push_back(store_->Follow(
      platform::kEvacuationKind, [this](const auto& objects, bool complete) {
        OnEvacuations(objects, complete);
      }));
  tick_ = state_.loop.Every(kTickPeriod, [this] { OnTick(); });
  ReadHosts();
  WriteOwnHost();
}

void BeliefFeed::OnReachable(bool reachable) {
  store_reachable_ = reachable;
  LogLine(LogLevel::kWarning, "store",
          reachable ? "Store answers again." : "Store does not answer.")
      .With("config", state_.config ? state_.config->version : 0);
  MarkRegistryUnreliable(state_.endpoints, state_.loop.Now());
}

void BeliefFeed::OnTick() {
  const Time now = state_.loop.Now();
  if (!store_reachable_)
    MarkRegistryUnreliable(state_.endpoints, now);
  ApplyChanges(DropMissing(state_.endpoints, now));
  state_.pool.Sweep();
}

void BeliefFeed::ApplyChanges(const std::vector<EndpointChange>& changes) {
  for (const EndpointChange& it : changes) {
    LogChange(it);
    if (it.endpoint->state != EndpointState::kReady)
      state_.pool.Drop(*it.endpoint);
  }
}

void BeliefFeed::OnEndpoints(const std::vector<StoreObject>& objects,
                             bool complete) {
  const Time now = state_.loop.Now();
  std::vector<EndpointRecord> records;
  for (const StoreObject& object : objects) {
    if (object.revision == 0) {
      ApplyChanges(
          ApplyRemoval(state_.endpoints, EndpointId(object.name), now));
      continue;
    }
    auto record = TryOr(
        [&]() -> Result<std::optional<EndpointRecord>> {
          BOOST_LEAF_AUTO(it, platform::DecodeEndpoint(
                                  object, state_.settings.regions));
          return std::optional<EndpointRecord>(std::move(it));
        },
        [](const Error& e) {
          LogLine(LogLevel::kWarning, "endpoints", "Record is malformed.")
              .With("reason", e.ToString());
          return std::optional<EndpointRecord>();
        });
    if (!record)
      continue;
    if (complete)
      records.push_back(std::move(*record));
    else
      ApplyChanges(ApplyRecord(state_.endpoints, *record, now));
  }
  if (complete)
    ApplyChanges(ApplyList(state_.endpoints, records, now));
}

void BeliefFeed::OnConfig(const std::vector<StoreObject>& objects) {
  for (const StoreObject& object : objects) {
    if (object.name != platform::kConfigName || object.revision == 0)
      continue;
    auto config = TryOr(
        [&]() -> Result<std::shared_ptr<const SteeringConfig>> {
          BOOST_LEAF_AUTO(it, platform::DecodeConfig(object));
          return std::make_shared<const SteeringConfig>(std::move(it));
        },
        [](const Error& e) {
          LogLine(LogLevel::kError, "config", "Configuration is malformed.")
              .With("reason", e.ToString());
          return std::shared_ptr<const SteeringConfig>();
        });
    if (!config)
      continue;
    const uint64_t before = state_.config ? state_.config->version : 0;
    const bool is_newer = !state_.config || config->version > before;
    LogLine(LogLevel::kInfo, "config",
            is_newer ? "Configuration is in force." : "Configuration is old.")
        .With("version", config->version)
        .With("before", before)
        .With("revision", object.revision);
    if (!is_newer)
      continue;
    state_.config = std::move(config);
    on_config_();
  }
}

void BeliefFeed::OnEvacuations(const std::vector<StoreObject>& objects,
                               bool complete) {
  std::set<ZoneId> listed;
  for (const StoreObject& object : objects) {
    const ZoneId zone(object.name);
    if (object.revision == 0) {
      EndEvacuationOf(zone);
      continue;
    }
    listed.insert(zone);
    if (state_.endpoints.evacuated.count(zone) == 0) {
      LogLine(LogLevel::kInfo, "endpoints", "Evacuation begins.")
          .With("zone", zone)
          .With("revision", object.revision);
    }
    SetEvacuated(state_.endpoints, zone);
  }
  if (!complete)
    return;
  const std::set<ZoneId> before = state_.endpoints.evacuated;
  for (const ZoneId& it : before) {
    if (listed.count(it) == 0)
      EndEvacuationOf(it);
  }
}

void BeliefFeed::EndEvacuationOf(const ZoneId& zone) {
  Duration warmup{};
  if (state_.config) {
    for (const auto& [name, service] : state_.config->services)
      warmup = std::max(warmup, service.warmup_time);
  }
  LogLine(LogLevel::kInfo, "endpoints", "Evacuation ends.").With("zone", zone);
  EndEvacuation(state_.endpoints, zone, warmup, state_.loop.Now());
}

void BeliefFeed::ReadHosts() {
  store_->List({platform::kHostKind}, [this](const StoreReply& reply) {
    for (const StoreObject& object : reply.objects) {
      TryOr(
          [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(notice, platform::DecodeHost(object));
            Introduce(state_.members, notice, state_.loop.Now());
            return true;
          },
          [](const Error& e) {
            LogLine(LogLevel::kWarning, "members", "Host is malformed.")
                .With("reason", e.ToString());
            return false;
          });
    }
  });
}

// Lets hosts that start later find this one when their seeds are gone.
void BeliefFeed::WriteOwnHost() {
  const StorePut put{platform::kHostKind, state_.settings.host.value(), 0,
                     platform::EncodeHost(state_.members.self)};
  store_->PutIf(put, [this](const StoreReply& reply) {
    // An object of an earlier start says the same.
    if (reply.status == StoreStatus::kOk ||
        reply.status == StoreStatus::kConflict)
      return;
    LogLine(LogLevel::kWarning, "members", "Own host cannot be written.")
        .With("status", NameOf(reply.status));
    own_host_retry_ =
        state_.loop.After(kOwnHostRetry, [this] { WriteOwnHost(); });
  });
}

}  // namespace sassafras
