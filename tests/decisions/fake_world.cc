#include "decisions/fake_world.h"

#include <algorithm>

#include "base/hash.h"
#include "decisions/json_forms.h"

namespace sassafras {

namespace {

constexpr Duration kConnectTime = std::chrono::microseconds(300);

HostId HostOfPeerId(const HostId& peer) {
  return HostId(peer.value().substr(0, peer.value().find('/')));
}

HostId ControlPeerId(const HostId& host) {
  return HostId(host.value() + "/control");
}

}  // namespace

StoreReply FakeStore::Get(const StoreGet& get) {
  ++calls;
  if (down)
    return {StoreStatus::kUnavailable, {}};
  const auto it = objects.find({get.kind, get.name});
  if (it == objects.end())
    return {StoreStatus::kNotFound, {}};
  return {StoreStatus::kOk, {it->second}};
}

StoreReply FakeStore::List(const StoreList& list) {
  ++calls;
  if (down)
    return {StoreStatus::kUnavailable, {}};
  StoreReply reply{StoreStatus::kOk, {}};
  for (const auto& [key, object] : objects) {
    if (key.first == list.kind)
      reply.objects.push_back(object);
  }
  return reply;
}

StoreReply FakeStore::Put(const StorePut& put) {
  ++calls;
  if (down)
    return {StoreStatus::kUnavailable, {}};
  const auto it = objects.find({put.kind, put.name});
  const uint64_t present = it == objects.end() ? 0 : it->second.revision;
  if (present != put.expected_revision) {
    StoreReply reply{StoreStatus::kConflict, {}};
    if (it != objects.end())
      reply.objects.push_back(it->second);
    return reply;
  }
  StoreObject object{put.kind, put.name, ++revision, put.value};
  objects[{put.kind, put.name}] = object;
  if (lose_answers > 0) {
    --lose_answers;
    return {StoreStatus::kUnknown, {}};
  }
  return {StoreStatus::kOk, {object}};
}

World::World(WorldConfig config)
    : config_(std::move(config)), random_(config_.seed) {
  Service service;
  service.id = ServiceId(config_.service);
  topology_.services[service.id] = service;
  for (const std::string& region : config_.regions) {
    topology_.regions.emplace_back(region);
    for (int z = 0; z < config_.zones_per_region; ++z) {
      const std::string zone = region + "-" + static_cast<char>('a' + z);
      topology_.zones.push_back({ZoneId(zone), RegionId(region)});
      for (int n = 1; n <= config_.hosts_per_zone; ++n) {
        Host host;
        host.id = HostId(zone + "-" + std::to_string(n));
        host.region = RegionId(region);
        host.zone = ZoneId(zone);
        hosts_.push_back(host);
      }
      const int zones =
          static_cast<int>(config_.regions.size()) * config_.zones_per_region;
      const int zone_number = static_cast<int>(topology_.zones.size()) - 1;
      const int endpoints =
          config_.endpoints_total > 0
              ? (config_.endpoints_total + zone_number) / zones
              : config_.endpoints_per_zone;
      for (int n = 1; n <= endpoints; ++n) {
        FakeEndpoint endpoint;
        endpoint.listed.id = EndpointId("e-" + zone + "-" + std::to_string(n));
        endpoint.listed.zone = ZoneId(zone);
        endpoint.listed.slots = config_.slots;
        endpoint.work = config_.work;
        endpoints_[endpoint.listed.id] = endpoint;
      }
    }
  }
}

void World::At(Time time, std::function<void()> fn) {
  events_.push({time, ++order_, std::move(fn)});
}

void World::Run(Duration time) {
  RunUntil(time, [] { return false; });
}

bool World::RunUntil(Duration time, const std::function<bool()>& done) {
  const Time end = now_ + time;
  while (!done()) {
    if (events_.empty() || events_.top().at > end) {
      now_ = end;
      return done();
    }
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.fn();
  }
  return true;
}

// ---- Setup ----

void World::PublishLists() {
  HostList hosts;
  for (const Host& it : hosts_)
    hosts.hosts.push_back(it);
  EndpointList list;
  list.service = service();
  for (const auto& [id, endpoint] : endpoints_)
    list.endpoints.push_back(endpoint.listed);
  const auto put = [&](const std::string& kind, const std::string& name,
                       const std::string& value) {
    StoreObject& object = store_.objects[{kind, name}];
    object = {kind, name, ++store_.revision, value};
    PublishChange(kind, object);
  };
  put("hosts", kSoleDocument, Json(hosts).dump());
  put("endpoints", config_.service, Json(list).dump());
}

void World::StartAll() {
  PublishLists();
  for (const Host& it : hosts_)
    StartHost(it);
}

void World::StartHost(const Host& host) {
  dead_.erase(host.id);
  frozen_.erase(host.id);
  deferred_.erase(host.id);
  followers_.erase(host.id);
  exited.erase(host.id);
  ++starts_[host.id];
  auto entry = std::make_unique<EntryNode>(topology_, host, random_());
  entry->control = ControlPeerId(host.id);
  // A new host starts with the seed hosts of its settings.
  HostList seeds;
  seeds.hosts = hosts_;
  SetListedHosts(entry->membership, seeds);
  entries_[host.id] = std::move(entry);
  auto control = std::make_unique<ControlNode>(topology_, host);
  control->entry = host.id;
  controls_[host.id] = std::move(control);
  intent_seen_.erase(host.id);
  // Processes do not start at the same instant.
  const Duration entry_offset = std::chrono::microseconds(random_() % 900000);
  const Duration control_offset = std::chrono::microseconds(random_() % 900000);
  const int start = starts_[host.id];
  At(now_ + entry_offset, [this, id = host.id, start] {
    if (starts_[id] == start && dead_.count(id) == 0)
      PerformEntryActions(id, StartEntry(*entries_.at(id), now_));
  });
  At(now_ + control_offset, [this, id = host.id, start] {
    if (starts_[id] == start && dead_.count(id) == 0)
      PerformControlActions(id, StartControl(*controls_.at(id), now_));
  });
}

Version World::LoadIntent(Intent intent) {
  StoreObject& object = store_.objects[{"intent", kSoleDocument}];
  const auto present = TryReadPayload<Intent>(object.value);
  intent.version = present ? present->version.Next() : Version(1);
  object = {"intent", kSoleDocument, ++store_.revision, Json(intent).dump()};
  PublishChange("intent", object);
  return intent.version;
}

Version World::LoadEvenIntent() {
  Intent intent;
  ServiceIntent& it = intent.services[service()];
  for (const Zone& zone : topology_.zones)
    it.shares[zone.id] = 1.0 / static_cast<double>(topology_.zones.size());
  it.priorities[IndexOf(Priority::kNormal)].least_share = 0.15;
  it.priorities[IndexOf(Priority::kLow)].least_share = 0.05;
  it.shift_cap_per_minute = 0.1;
  return LoadIntent(intent);
}

void World::StartAndWaitUntilServing() {
  StartAll();
  LoadEvenIntent();
  const auto ready = [&] {
    for (const Host& it : hosts_) {
      EntryNode& node = *entries_.at(it.id);
      if (!IsReady(node) || node.views.size() != topology_.regions.size())
        return false;
      if (node.lookup.live_regions.size() != topology_.regions.size())
        return false;
    }
    return true;
  };
  RunUntil(std::chrono::seconds(60), ready);
  // Wait for the end of the grace period at startup and the first reports.
  Run(std::chrono::seconds(12));
}

void World::SetWork(Duration work) {
  for (auto& [id, endpoint] : endpoints_)
    endpoint.work = work;
}

// ---- Faults ----

void World::Kill(const HostId& host) {
  dead_.insert(host);
  followers_.erase(host);
  ++starts_[host];
}

void World::Stop(const HostId& host) {
  ForHost(host, [this, host] { FeedEntry(host, StopRequested{}); });
}

void World::KillRegion(const RegionId& region) {
  for (const Host& it : hosts_) {
    if (it.region == region)
      Kill(it.id);
  }
  for (auto& [id, endpoint] : endpoints_) {
    const RegionId* of = RegionOfZone(topology_, endpoint.listed.zone);
    if (of && *of == region)
      Crash(endpoint);
  }
}

void World::Restart(const HostId& host) {
  Kill(host);
  for (const Host& it : hosts_) {
    if (it.id == host)
      StartHost(it);
  }
}

void World::Freeze(const HostId& host) {
  frozen_.insert(host);
}

void World::Wake(const HostId& host) {
  frozen_.erase(host);
  std::vector<std::function<void()>> held;
  held.swap(deferred_[host]);
  // A resumed process first runs its due timer, then reads its sockets.
  FeedEntry(host, TimerFired{});
  for (auto& fn : held)
    fn();
}

void World::ForHost(const HostId& host, std::function<void()> fn) {
  if (dead_.count(host))
    return;
  if (frozen_.count(host)) {
    const int start = starts_[host];
    deferred_[host].push_back([this, host, start, fn = std::move(fn)] {
      if (starts_[host] == start)
        fn();
    });
    return;
  }
  fn();
}

// ---- Nodes ----

void World::FeedEntry(const HostId& host, const EntryEvent& event) {
  PerformEntryActions(host, Handle(*entries_.at(host), event, now_));
  CheckIntentVersion(host);
}

void World::FeedControl(const HostId& host, const ControlEvent& event) {
  PerformControlActions(host, Handle(*controls_.at(host), event, now_));
}

Duration World::DelayBetween(const HostId& a, const HostId& b) const {
  const HostId from = HostOfPeerId(a);
  const HostId to = HostOfPeerId(b);
  if (from == to)
    return std::chrono::microseconds(50);
  const auto find = [&](const HostId& id) {
    return std::find_if(hosts_.begin(), hosts_.end(),
                        [&](const Host& it) { return it.id == id; });
  };
  const auto x = find(from);
  const auto y = find(to);
  if (x == hosts_.end() || y == hosts_.end())
    return config_.local_delay;
  if (x->zone == y->zone)
    return config_.local_delay;
  return x->region == y->region ? config_.zone_delay : config_.region_delay;
}

void World::Deliver(const HostId& from, const Envelope& envelope) {
  if (drop && drop(from, envelope))
    return;
  Message message = envelope.message;
  if (auto* report = std::get_if<HostReport>(&message); report && alter_report)
    alter_report(*report);
  const HostId to = HostOfPeerId(envelope.to);
  const int start = starts_[to];
  const bool to_control = to != envelope.to;
  At(now_ + DelayBetween(from, envelope.to),
     [this, from, to, to_control, start, message = std::move(message)] {
       if (starts_[to] != start || entries_.count(to) == 0)
         return;
       ForHost(to, [=] {
         if (to_control)
           FeedControl(to, PeerMessage{from, message});
         else
           FeedEntry(to, PeerMessage{from, message});
       });
     });
}

void World::PerformEntryActions(const HostId& host,
                                std::vector<EntryAction> actions) {
  for (EntryAction& action : actions) {
    if (const auto* it = std::get_if<Envelope>(&action)) {
      Deliver(host, *it);
    } else if (const auto* it = std::get_if<RefuseCall>(&action)) {
      if (CallRecord* record = FindCall(it->exchange)) {
        record->state = CallRecord::State::kRefused;
        record->problem = it->problem;
        record->ended = now_;
        CheckAnswer(*record);
      }
    } else if (const auto* it = std::get_if<AnswerCall>(&action)) {
      if (CallRecord* record = FindCall(it->exchange)) {
        record->state = CallRecord::State::kAnswered;
        record->answer = it->answer.body;
        record->from_record = true;
        record->ended = now_;
        CheckAnswer(*record);
      }
    } else if (const auto* it = std::get_if<Dispatch>(&action)) {
      SimulateDispatch(host, *it);
    } else if (const auto* it = std::get_if<CancelDispatch>(&action)) {
      for (auto& [id, endpoint] : endpoints_)
        endpoint.running.erase(it->exchange);
    } else if (const auto* it = std::get_if<FollowStore>(&action)) {
      if (it->follow) {
        followers_.insert(host);
        FollowAll(host);
      } else {
        followers_.erase(host);
      }
    } else if (const auto* it = std::get_if<WriteStatus>(&action)) {
      const StorePut put = it->put;
      At(now_ + store_.delay, [this, host, put] {
        StoreReply reply{StoreStatus::kUnavailable, {}};
        if (!cut_from_store || !cut_from_store(host))
          reply = store_.Put(put);
        ForHost(host, [=] { FeedEntry(host, StatusWritten{reply}); });
      });
    } else if (const auto* it = std::get_if<SetTimer>(&action)) {
      const uint64_t timer = ++entry_timers_[host];
      const int start = starts_[host];
      At(it->at, [this, host, timer, start] {
        if (entry_timers_[host] != timer || starts_[host] != start)
          return;
        ForHost(host, [=] { FeedEntry(host, TimerFired{}); });
      });
    } else if (std::get_if<Exit>(&action)) {
      exited.insert(host);
      Kill(host);
      return;
    }
  }
}

void World::PerformControlActions(const HostId& host,
                                  std::vector<ControlAction> actions) {
  for (ControlAction& action : actions) {
    if (const auto* it = std::get_if<Envelope>(&action)) {
      Deliver(ControlPeerId(host), *it);
    } else if (const auto* it = std::get_if<StoreCall>(&action)) {
      const StoreCall call = *it;
      const int start = starts_[host];
      At(now_ + store_.delay, [this, host, call, start] {
        const StoreReply reply = ExecuteStoreCall(host, call);
        At(now_ + store_.delay, [=] {
          if (starts_[host] != start)
            return;
          ForHost(host, [=] {
            FeedControl(host, StoreAnswer{call.id, reply});
          });
        });
      });
    } else if (const auto* it = std::get_if<SetTimer>(&action)) {
      const uint64_t timer = ++control_timers_[host];
      const int start = starts_[host];
      At(it->at, [this, host, timer, start] {
        if (control_timers_[host] != timer || starts_[host] != start)
          return;
        ForHost(host, [=] { FeedControl(host, TimerFired{}); });
      });
    }
  }
}

StoreReply World::PutAndNotifyFollowers(const StorePut& put) {
  const uint64_t before = store_.revision;
  StoreReply reply = store_.Put(put);
  if (store_.revision != before)
    PublishChange(put.kind, store_.objects.at({put.kind, put.name}));
  return reply;
}

StoreReply World::ExecuteStoreCall(const HostId& host, const StoreCall& call) {
  if (cut_from_store && cut_from_store(host))
    return {StoreStatus::kUnavailable, {}};
  if (const auto* get = std::get_if<StoreGet>(&call.call))
    return store_.Get(*get);
  if (const auto* list = std::get_if<StoreList>(&call.call))
    return store_.List(*list);
  return PutAndNotifyFollowers(std::get<StorePut>(call.call));
}

void World::PublishChange(const std::string& kind, const StoreObject& object) {
  const auto document = FromName<DocumentKind>(kind);
  if (!document)
    return;
  for (const HostId& host : followers_) {
    if (cut_from_store && cut_from_store(host))
      continue;
    At(now_ + store_.delay, [this, host, document, object] {
      if (followers_.count(host) == 0 || store_.down)
        return;
      ForHost(host, [=] {
        FeedEntry(host, StoreObjects{*document, {object}, false});
      });
    });
  }
}

void World::FollowAll(const HostId& host) {
  const int start = starts_[host];
  At(now_ + store_.delay, [this, host, start] {
    if (starts_[host] != start || followers_.count(host) == 0)
      return;
    if (store_.down || (cut_from_store && cut_from_store(host))) {
      // A follower retries every second until the store answers.
      At(now_ + std::chrono::seconds(1), [this, host, start] {
        if (starts_[host] == start && followers_.count(host))
          FollowAll(host);
      });
      return;
    }
    for (const DocumentKind kind : kAllDocumentKinds) {
      const StoreReply reply = store_.List({std::string(NameOf(kind))});
      ForHost(host, [=] {
        FeedEntry(host, StoreObjects{kind, reply.objects, true});
      });
    }
  });
}

// ---- Endpoints ----

void World::SimulateDispatch(const HostId& host, const Dispatch& dispatch) {
  CallRecord* record = FindCall(dispatch.exchange);
  FakeEndpoint& endpoint = endpoints_.at(dispatch.endpoint);
  const ExchangeId exchange = dispatch.exchange;
  const EndpointId id = dispatch.endpoint;
  const auto end_after = [&](Duration time, SlotOutcome outcome) {
    At(now_ + time,
       [=] { EndRun(host, id, exchange, outcome, std::string()); });
  };
  if (endpoint.dead || !record) {
    end_after(kConnectTime, SlotOutcome::kConnectFailed);
    return;
  }
  if (endpoint.running.size() >= static_cast<size_t>(endpoint.listed.slots)) {
    end_after(kConnectTime, SlotOutcome::kShed);
    return;
  }
  endpoint.running.insert(exchange);
  ++endpoint.runs;
  ++record->runs;
  if (!record->spec.key.empty()) {
    const int runs = ++runs_of_key_[record->spec.key];
    if (runs > 1)
      violations.push_back("keyed request ran twice: " + record->spec.key);
  }
  if (record->spec.poison) {
    At(now_ + std::chrono::milliseconds(2), [this, id] {
      Crash(endpoints_.at(id));
      At(now_ + std::chrono::seconds(3),
         [this, id] { endpoints_.at(id).dead = false; });
    });
    return;
  }
  if (endpoint.closes_early) {
    end_after(std::chrono::milliseconds(1), SlotOutcome::kBroken);
    return;
  }
  Duration work =
      record->spec.work == Duration::zero() ? endpoint.work : record->spec.work;
  if (config_.work_spread > 0) {
    const double draw = 2 * UnitInterval(random_()) - 1;
    work = FromSeconds(Seconds(work) * (1 + config_.work_spread * draw));
  }
  SlotOutcome outcome = SlotOutcome::kAnswered;
  if (endpoint.fails) {
    work = std::chrono::milliseconds(1);
    outcome = SlotOutcome::kFailed;
  }
  if (work > dispatch.timeout) {
    end_after(dispatch.timeout, SlotOutcome::kTimedOut);
    return;
  }
  const std::string answer =
      "run of " + record->spec.key + "/" + std::to_string(record->spec.body);
  At(now_ + work, [=] { EndRun(host, id, exchange, outcome, answer); });
}

void World::EndRun(const HostId& host,
                   const EndpointId& endpoint,
                   ExchangeId exchange,
                   SlotOutcome outcome,
                   const std::string& answer) {
  FakeEndpoint& it = endpoints_.at(endpoint);
  const bool answered =
      outcome == SlotOutcome::kAnswered || outcome == SlotOutcome::kFailed;
  if (answered && it.running.erase(exchange) == 0)
    return;  // The endpoint crashed or the request was cancelled meanwhile.
  it.running.erase(exchange);
  ForHost(host, [=] {
    CallRecord* record = FindCall(exchange);
    if (answered && record && record->state == CallRecord::State::kOpen) {
      record->state = CallRecord::State::kAnswered;
      record->answer = answer;
      record->ended = now_;
      CheckAnswer(*record);
    }
    DispatchEnded ended;
    ended.exchange = exchange;
    ended.outcome = outcome;
    ended.replayable = true;
    ended.answer_kept = answered;
    ended.answer = {200, "text/plain", answer};
    FeedEntry(host, ended);
  });
}

void World::Crash(FakeEndpoint& endpoint) {
  endpoint.dead = true;
  ++endpoint.crashes;
  const std::set<ExchangeId> running = std::move(endpoint.running);
  endpoint.running.clear();
  for (const ExchangeId it : running) {
    if (const CallRecord* record = FindCall(it))
      EndRun(record->entry, endpoint.listed.id, it, SlotOutcome::kBroken, "");
  }
}

// ---- Callers ----

size_t World::Call(const HostId& entry, const CallSpec& spec) {
  const size_t n = calls_.size();
  CallRecord record;
  record.spec = spec;
  record.entry = entry;
  record.begun = now_;
  calls_.push_back(record);
  if (dead_.count(entry))
    return n;
  EntryNode& node = *entries_.at(entry);
  CallArrived call;
  call.exchange = NewExchange(node);
  call.service = service();
  call.route.priority = spec.priority;
  call.route.idempotent = spec.key.empty() && spec.idempotent;
  call.caller = CallerId(spec.caller);
  call.key = RequestKey(spec.key);
  call.body = Fingerprint(spec.body);
  const uint64_t target = spec.target ? spec.target : ++next_target_ << 20;
  const uint64_t who = HashText(spec.caller);
  const uint64_t what =
      spec.key.empty() ? HashPair(target, spec.body) : HashPair(1, spec.body);
  call.fingerprint = Fingerprint(HashPair(who, what));
  call.timeout = spec.timeout;
  calls_[n].exchange = call.exchange;
  call_of_[call.exchange] = n;
  ForHost(entry, [=] { FeedEntry(entry, call); });
  return n;
}

void World::DisconnectCaller(size_t n) {
  const CallRecord& record = calls_[n];
  ForHost(record.entry,
          [this, entry = record.entry, exchange = record.exchange] {
            FeedEntry(entry, CallerGone{exchange});
          });
}

CallRecord* World::FindCall(ExchangeId exchange) {
  const auto it = call_of_.find(exchange);
  return it == call_of_.end() ? nullptr : &calls_[it->second];
}

int World::RunsOfKey(const std::string& key) const {
  const auto it = runs_of_key_.find(key);
  return it == runs_of_key_.end() ? 0 : it->second;
}

// ---- Checks ----

void World::CheckIntentVersion(const HostId& host) {
  const Version version = entries_.at(host)->intent.version;
  Version& seen = intent_seen_[host];
  if (version < seen)
    violations.push_back("intent version decreased on host " + host.value());
  seen = version;
}

void World::CheckAnswer(const CallRecord& record) {
  if (record.state == CallRecord::State::kRefused &&
      record.problem.ran == Ran::kNo) {
    if (record.runs > 0 && !record.spec.idempotent)
      violations.push_back("request was reported as not run but had run");
    const bool same_body = record.problem.code != "body_differs";
    if (!record.spec.key.empty() && same_body &&
        RunsOfKey(record.spec.key) > 0) {
      violations.push_back(
          "keyed request was reported as not run but had run: " +
          record.spec.key);
    }
  }
  if (record.state == CallRecord::State::kAnswered) {
    const std::string own =
        "run of " + record.spec.key + "/" + std::to_string(record.spec.body);
    if (record.answer != own)
      violations.push_back("caller got the answer of another request: " +
                           record.answer);
  }
}

// ---- Access to state ----

std::vector<HostId> World::HostsOfZone(const std::string& zone) const {
  std::vector<HostId> out;
  for (const Host& it : hosts_) {
    if (it.zone == ZoneId(zone))
      out.push_back(it.id);
  }
  return out;
}

std::vector<HostId> World::HostsOfRegion(const std::string& region) const {
  std::vector<HostId> out;
  for (const Host& it : hosts_) {
    if (it.region == RegionId(region))
      out.push_back(it.id);
  }
  return out;
}

HostId World::Leader() const {
  for (const auto& [id, node] : controls_) {
    if (dead_.count(id) == 0 && frozen_.count(id) == 0 &&
        IsLeader(*node, now_)) {
      return id;
    }
  }
  return HostId();
}

const ShardView& World::View(const std::string& region, int shard) {
  static const ShardView none;
  const auto it = store_.objects.find({"views", region});
  if (it == store_.objects.end())
    return none;
  static RegionViews views;
  views = TryReadPayload<RegionViews>(it->second.value).value_or(RegionViews{});
  if (views.shards.empty())
    return none;
  return views.shards[static_cast<size_t>(shard)];
}

std::optional<ServicePlan> World::StoredPlan() {
  const auto it = store_.objects.find({"plan", config_.service});
  if (it == store_.objects.end())
    return std::nullopt;
  return TryReadPayload<ServicePlan>(it->second.value);
}

}  // namespace sassafras
