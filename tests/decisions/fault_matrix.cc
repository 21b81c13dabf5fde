#include "decisions/fault_matrix.h"

#include <set>

#include "decisions/fake_world.h"
#include "decisions/json_forms.h"
#include "decisions/planner.h"

namespace sassafras {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCapPerMinute = 0.1;
// Maximum time from the end of a fault until the deployment has recovered.
constexpr Duration kRecoveryTime = seconds(25);

class Cell {
 public:
  Cell() : world_(Config()) {
    world_.StartAndWaitUntilServing();
    client_ = world_.HostsOfZone("cuyo-a")[0];
    other_ = world_.HostsOfZone("cuyo-b")[1];
    victim_ = world_.HostsOfZone("cuyo-b")[0];
  }

  std::vector<std::string> Run(Fault fault, Step step) {
    BeginStep(step);
    InjectFault(fault);
    const Time end = world_.now() + seconds(8);
    int n = 0;
    while (world_.now() < end) {
      SendTraffic(++n);
      if (flood_)
        SendFlood(*flood_);
      world_.Run(milliseconds(20));
      CheckDrain();
    }
    EndFaults();
    world_.Run(kRecoveryTime);
    CheckEnd();
    violations_.insert(violations_.end(), world_.violations.begin(),
                       world_.violations.end());
    return violations_;
  }

 private:
  static WorldConfig Config() {
    WorldConfig config;
    config.regions = {"cuyo", "pampa"};
    config.hosts_per_zone = 2;
    config.endpoints_per_zone = 2;
    return config;
  }

  Intent IntentWithFirstRegionShare(double first_region_share) {
    Intent intent;
    ServiceIntent& it = intent.services[world_.service()];
    const auto& zones = world_.topology().zones;
    for (size_t z = 0; z < zones.size(); ++z)
      it.shares[zones[z].id] =
          (z < 2 ? first_region_share : 1 - first_region_share) / 2;
    it.shift_cap_per_minute = kCapPerMinute;
    return intent;
  }

  size_t SendKeyedCall(const HostId& entry, const std::string& name) {
    CallSpec spec;
    if (!world_.IsUp(entry))
      return 0;
    const LookupAnswer lookup = AnswerLookup(world_.entry(entry), 0x0a010001);
    spec.key = lookup.key_prefix + name;
    spec.timeout = seconds(3);
    keyed_calls_.push_back(spec);
    return world_.Call(entry, spec);
  }

  void ResendLastKeyedCall(const HostId& entry) {
    if (!keyed_calls_.empty())
      world_.Call(entry, keyed_calls_.back());
  }

  // Sends a few keyed requests, each repeated through another host, and
  // requests of low priority.
  void SendTraffic(int n) {
    if (n % 10 == 0)
      SendKeyedCall(client_, "traffic-" + std::to_string(n));
    if (n % 10 == 3)
      ResendLastKeyedCall(other_);
    if (n % 5 == 0) {
      CallSpec spec;
      spec.priority = Priority::kLow;
      spec.timeout = seconds(2);
      world_.Call(other_, spec);
    }
  }

  void SendFlood(Priority priority) {
    // Five times the capacity of the endpoints per step of 20 ms: 24 slots with
    // 50 requests/s each, in 50 steps/s.
    constexpr int kPerStep = 5 * 24 * 50 / 50;
    for (int n = 0; n < kPerStep; ++n) {
      CallSpec spec;
      spec.priority = priority;
      spec.timeout = seconds(1);
      spec.caller = "flood-" + std::to_string(n % 7);
      world_.Call(n % 2 == 0 ? client_ : other_, spec);
    }
  }

  void BeginStep(Step step) {
    switch (step) {
      case Step::kSheetLoad:
        StartLoad(0.6, "a");
        return;
      case Step::kSpread:
        version_ = world_.LoadIntent(IntentWithFirstRegionShare(0.55));
        return;
      case Step::kPlan:
        world_.LoadIntent(IntentWithFirstRegionShare(0.7));
        world_.Run(milliseconds(600));
        return;
      case Step::kLease:
        world_.Freeze(world_.Leader());
        world_.Run(milliseconds(6500));
        return;
      case Step::kShift:
        world_.LoadIntent(IntentWithFirstRegionShare(0.9));
        world_.Run(seconds(5));
        return;
      case Step::kViewChange:
        world_.Kill(victim_);
        world_.Run(milliseconds(4500));
        return;
      case Step::kBegin:
        SendKeyedCall(client_, "step");
        world_.Run(milliseconds(2));
        return;
      case Step::kDispatch:
        SendKeyedCall(client_, "step");
        world_.Run(milliseconds(8));
        return;
      case Step::kAnswer:
        SendKeyedCall(client_, "step");
        world_.Run(milliseconds(22));
        return;
      case Step::kResend:
        SendKeyedCall(client_, "step");
        world_.Run(milliseconds(100));
        ResendLastKeyedCall(other_);
        return;
      case Step::kDrain:
        BeginDrain();
        return;
      case Step::kStop: {
        CallSpec upload;
        upload.work = seconds(4);
        upload.timeout = seconds(20);
        upload.priority = Priority::kNormal;
        upload.target = 77;
        protected_call_ = world_.Call(other_, upload);
        has_protected_call_ = true;
        world_.Run(milliseconds(200));
        world_.Stop(other_);
        return;
      }
      case Step::kJoin:
        world_.Restart(other_);
        world_.Run(milliseconds(1200));
        return;
    }
  }

  void BeginDrain() {
    Intent intent = IntentWithFirstRegionShare(0.5);
    draining_ = world_.endpoints().begin()->first;
    intent.leaving = {{draining_, 0}};
    world_.LoadIntent(intent);
    drain_began_ = world_.now();
  }

  // Starts a load whose store calls are separate events, so that a fault can
  // occur between them.
  void StartLoad(double first_region_share, const std::string& id) {
    auto process = std::make_shared<LoadProcess>();
    process->request.load_id = id;
    process->request.operator_name = id;
    process->request.sheet_hash = std::hash<std::string>()(id);
    const Intent intent = IntentWithFirstRegionShare(first_region_share);
    process->request.reading.services[world_.service()].shares =
        intent.services.at(world_.service()).shares;
    process->request.reading.verdicts = {{2, true, "", ""}};
    loads_.push_back(process);
    ContinueLoadLater(process, BeginLoad(*process));
  }

  void ContinueLoadLater(const std::shared_ptr<LoadProcess>& process,
                         const LoadStep& step) {
    if (process->phase == LoadProcess::Phase::kDone)
      return;
    world_.At(world_.now() + world_.store().delay, [this, process, step] {
      StoreReply reply;
      if (const auto* get = std::get_if<StoreGet>(&step))
        reply = world_.store().Get(*get);
      else
        reply = world_.PutAndNotifyFollowers(std::get<StorePut>(step));
      ContinueLoadLater(process, ContinueLoad(*process, reply));
    });
  }

  void InjectFault(Fault fault) {
    switch (fault) {
      case Fault::kStoreDown:
        world_.store().down = true;
        return;
      case Fault::kStoreSlow:
        world_.store().delay = milliseconds(1500);
        return;
      case Fault::kAnswerLost:
        world_.store().lose_answers = 5;
        return;
      case Fault::kLeaderPaused:
        Freeze(world_.Leader());
        return;
      case Fault::kOperatorsRace:
        StartLoad(0.45, "b");
        StartLoad(0.65, "c");
        return;
      case Fault::kMeasurementsStop:
        world_.drop = [](const HostId&, const Envelope& it) {
          return std::holds_alternative<HostReport>(it.message);
        };
        return;
      case Fault::kMeasurementsLie:
        world_.alter_report = [](HostReport& report) { report.demand.clear(); };
        return;
      case Fault::kProcessKilled:
        Kill(world_.HostsOfZone("cuyo-a")[1]);
        return;
      case Fault::kProcessFrozen:
        Freeze(world_.HostsOfZone("cuyo-a")[1]);
        return;
      case Fault::kConnectionCut:
        world_.drop = [this](const HostId& from, const Envelope& it) {
          return (from == client_) != (it.to == client_) &&
                 it.to.value().find("cuyo-b") != std::string::npos;
        };
        return;
      case Fault::kRegionLost:
        for (const HostId& it : world_.HostsOfRegion("pampa"))
          Kill(it);
        return;
      case Fault::kRegionsParted:
        world_.drop = [](const HostId& from, const Envelope& it) {
          return from.value().substr(0, 4) != it.to.value().substr(0, 4);
        };
        return;
      case Fault::kEndpointCrash:
        for (auto& [id, endpoint] : world_.endpoints()) {
          if (id != draining_) {
            world_.CrashEndpoint(id);
            return;
          }
        }
        return;
      case Fault::kPoison: {
        CallSpec poison;
        poison.poison = true;
        poison.target = 9;
        poison.caller = "unlucky";
        for (int n = 0; n < 8; ++n) {
          world_.At(world_.now() + milliseconds(400) * n, [this, poison] {
            if (world_.IsUp(client_))
              world_.Call(client_, poison);
          });
        }
        has_sent_poison_ = true;
        return;
      }
      case Fault::kFloodLow:
        flood_ = Priority::kLow;
        return;
      case Fault::kFloodNormal:
        flood_ = Priority::kNormal;
        return;
      case Fault::kFloodUrgent:
        flood_ = Priority::kUrgent;
        return;
      case Fault::kHostListLags:
        // The platform's list still names a host that is dead.
        Kill(world_.HostsOfZone("pampa-a")[0]);
        return;
    }
  }

  void Kill(const HostId& host) {
    world_.Kill(host);
    killed_.insert(host);
  }

  void Freeze(const HostId& host) {
    if (host.empty())
      return;
    world_.Freeze(host);
    frozen_.insert(host);
  }

  void EndFaults() {
    world_.store().down = false;
    world_.store().delay = milliseconds(2);
    world_.store().lose_answers = 0;
    world_.drop = nullptr;
    world_.alter_report = nullptr;
    flood_.reset();
    for (const Host& it : world_.hosts())
      world_.WakeIfFrozen(it.id);
    for (auto& [id, endpoint] : world_.endpoints())
      endpoint.dead = false;
    for (const Host& it : world_.hosts()) {
      if (!world_.IsUp(it.id))
        world_.Restart(it.id);
    }
  }

  // A leaving endpoint gets no new work from 3 s after the load on. Only
  // checked while all live hosts know that it leaves, since a fault of the
  // store can keep the intent from them.
  void CheckDrain() {
    if (draining_.empty() || world_.now() < drain_began_ + seconds(3))
      return;
    const int runs = world_.endpoints().at(draining_).runs;
    if (!runs_at_drain_)
      runs_at_drain_ = runs;
    bool all_know = true;
    for (const Host& it : world_.hosts()) {
      if (world_.IsUp(it.id) && !world_.IsFrozen(it.id))
        all_know = all_know &&
                   world_.entry(it.id).leaving_endpoints.count(draining_) > 0;
    }
    if (all_know && all_knew_before_ && runs > *runs_at_drain_)
      violations_.push_back("leaving endpoint got new work");
    all_knew_before_ = all_know;
    runs_at_drain_ = runs;
  }

  void CheckEnd() {
    Version newest;
    for (const Host& it : world_.hosts())
      newest = std::max(newest, world_.entry(it.id).intent.version);
    for (const Host& it : world_.hosts()) {
      if (world_.entry(it.id).intent.version != newest)
        violations_.push_back("intent is not in force on " + it.id.value());
      if (!IsReady(world_.entry(it.id)))
        violations_.push_back("not ready: " + it.id.value());
    }
    if (newest < version_)
      violations_.push_back("intent version decreased");
    for (const auto& it : loads_)
      CheckLoad(*it);
    const auto plan = world_.StoredPlan();
    double sum = 0;
    for (const auto& [zone, it] : plan->zones)
      sum += it.share;
    if (sum > 1 + 1e-6)
      violations_.push_back("sum of the planned shares exceeds 1");
    if (has_protected_call_ &&
        world_.call(protected_call_).state != CallRecord::State::kAnswered &&
        killed_.count(other_) == 0) {
      protected_call_failed_ = true;
    }
    if (has_sent_poison_) {
      int crashes = 0;
      for (const auto& [id, endpoint] : world_.endpoints())
        crashes += endpoint.crashes;
      if (crashes > 2)
        violations_.push_back(
            "poison request crashed endpoints more than twice");
    }
    if (protected_call_failed_)
      violations_.push_back("request failed because of a planned stop");
    const size_t last = SendKeyedCall(client_, "last");
    world_.Run(seconds(4));
    if (world_.call(last).state != CallRecord::State::kAnswered)
      violations_.push_back("request failed after the fault had ended: " +
                            world_.call(last).problem.code);
  }

  // Checks the reported outcome of a load against the intent in the store.
  void CheckLoad(const LoadProcess& load) {
    const auto stored = TryReadPayload<Intent>(
        world_.store().objects.at({"intent", kSoleDocument}).value);
    std::set<std::string> took_effect = {stored->load_id};
    for (const Intent::PastLoad& it : stored->history)
      took_effect.insert(it.load_id);
    const bool effective = took_effect.count(load.request.load_id) > 0;
    switch (load.result.outcome) {
      case LoadOutcome::kInForce:
      case LoadOutcome::kReplaced:
        if (!effective)
          violations_.push_back(
              "load was reported as accepted but is not stored");
        return;
      case LoadOutcome::kConflict:
      case LoadOutcome::kNotAccepted:
        if (effective)
          violations_.push_back("load was reported as refused but took effect");
        return;
      default:
        return;
    }
  }

  World world_;
  HostId client_;
  HostId other_;
  HostId victim_;
  std::vector<CallSpec> keyed_calls_;
  std::vector<std::shared_ptr<LoadProcess>> loads_;
  std::set<HostId> killed_;
  std::set<HostId> frozen_;
  std::optional<Priority> flood_;
  Version version_;
  EndpointId draining_;
  Time drain_began_;
  std::optional<int> runs_at_drain_;
  bool all_knew_before_ = false;
  bool has_protected_call_ = false;
  bool protected_call_failed_ = false;
  bool has_sent_poison_ = false;
  size_t protected_call_ = 0;
  std::vector<std::string> violations_;
};

template <typename Enum>
std::vector<Enum> AllOf() {
  std::vector<Enum> out;
  for (const auto& it : NamesTable<Enum>::kNames)
    out.push_back(it.value);
  return out;
}

}  // namespace

std::vector<Fault> AllFaults() {
  return AllOf<Fault>();
}

std::vector<Step> AllSteps() {
  return AllOf<Step>();
}

std::vector<std::string> RunCell(Fault fault, Step step) {
  return Cell().Run(fault, step);
}

}  // namespace sassafras
