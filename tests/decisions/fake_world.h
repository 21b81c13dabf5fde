// A deterministic simulation of a deployment: entry and control nodes on a
// virtual clock, with fakes for the network, the store, the endpoints and the
// callers. The seed determines the whole run.
#ifndef TESTS_DECISIONS_FAKE_WORLD_H_
#define TESTS_DECISIONS_FAKE_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decisions/control_node.h"
#include "decisions/entry_node.h"
#include "decisions/sheet_load.h"

namespace sassafras {

// Fake of the platform's store.
struct FakeStore {
  std::map<std::pair<std::string, std::string>, StoreObject> objects;
  uint64_t revision = 0;
  bool down = false;
  Duration delay = std::chrono::milliseconds(2);
  // Number of next writes that take effect but return StoreStatus::kUnknown.
  int lose_answers = 0;
  uint64_t calls = 0;

  StoreReply Get(const StoreGet& get);
  StoreReply List(const StoreList& list);
  StoreReply Put(const StorePut& put);
};

struct FakeEndpoint {
  Endpoint listed;
  Duration work = std::chrono::milliseconds(20);
  bool dead = false;
  bool fails = false;         // Answers with status 500 after 1 ms.
  bool closes_early = false;  // Closes the connection before answering.
  std::set<ExchangeId> running;
  int runs = 0;
  int crashes = 0;
};

struct WorldConfig {
  std::vector<std::string> regions = {"cuyo", "pampa", "litoral"};
  int zones_per_region = 2;
  int hosts_per_zone = 3;
  std::string service = "rounds";
  int endpoints_per_zone = 3;
  // If positive, replaces `endpoints_per_zone`; spread over all zones.
  int endpoints_total = 0;
  int slots = 3;
  Duration work = std::chrono::milliseconds(20);
  // The work of a request is uniformly distributed in
  // work * [1 - work_spread, 1 + work_spread].
  double work_spread = 0;
  Duration local_delay = std::chrono::microseconds(200);
  Duration zone_delay = std::chrono::microseconds(1500);
  Duration region_delay = std::chrono::milliseconds(35);
  uint64_t seed = 1;
};

struct CallSpec {
  std::string key;  // Empty for none.
  uint64_t body = 1;
  Priority priority = Priority::kUrgent;
  std::string caller = "caller";
  Duration timeout = std::chrono::seconds(5);
  bool idempotent = true;  // Only used without a key.
  bool poison = false;     // Crashes the endpoint that runs it.
  uint64_t target = 0;  // Part of the fingerprint; zero for a new one per call.
  Duration work{};      // Zero for the default of the endpoint.
};

struct CallRecord {
  CallSpec spec;
  HostId entry;
  ExchangeId exchange;
  Time begun;
  Time ended;
  enum class State { kOpen, kAnswered, kRefused } state = State::kOpen;
  Problem problem;
  std::string answer;
  bool from_record = false;
  int runs = 0;  // Number of runs of this exchange on endpoints.
};

class World {
 public:
  explicit World(WorldConfig config);

  // ---- Time ----
  Time now() const { return now_; }
  void Run(Duration time);
  // Runs until `done` holds; false after `time`.
  bool RunUntil(Duration time, const std::function<bool()>& done);
  void At(Time time, std::function<void()> fn);

  // ---- Setup ----
  void StartAll();
  // Writes an intent with equal shares and returns its version.
  Version LoadEvenIntent();
  Version LoadIntent(Intent intent);
  // Starts all hosts, loads an intent and waits until all are ready with views
  // of all regions.
  void StartAndWaitUntilServing();
  void SetWork(Duration work);

  // ---- Faults ----
  void Kill(const HostId& host);     // Kills its entry and control process.
  void Restart(const HostId& host);  // As a new host with the same name.
  void Freeze(const HostId& host);
  void Wake(const HostId& host);
  void Stop(const HostId& host);  // Like SIGTERM.
  void KillRegion(const RegionId& region);
  bool IsUp(const HostId& host) const { return dead_.count(host) == 0; }
  void WakeIfFrozen(const HostId& host) {
    if (frozen_.count(host))
      Wake(host);
  }
  bool IsFrozen(const HostId& host) const { return frozen_.count(host) > 0; }
  void CrashEndpoint(const EndpointId& id) { Crash(endpoints_.at(id)); }
  // Writes to the store and notifies the followers, as for an operator.
  StoreReply PutAndNotifyFollowers(const StorePut& put);
  // If set, modifies host reports in transit.
  std::function<void(HostReport&)> alter_report;
  // If set, messages for which this returns true are lost.
  std::function<bool(const HostId& from, const Envelope&)> drop;
  // If set, hosts for which this returns true cannot reach the store.
  std::function<bool(const HostId& host)> cut_from_store;

  // ---- Callers ----
  size_t Call(const HostId& entry, const CallSpec& spec);
  CallRecord& call(size_t n) { return calls_[n]; }
  const std::deque<CallRecord>& calls() const { return calls_; }
  bool IsOpen(size_t n) const {
    return calls_[n].state == CallRecord::State::kOpen;
  }
  void DisconnectCaller(size_t n);  // The caller closes its connection.
  int RunsOfKey(const std::string& key) const;

  // ---- Access to state ----
  EntryNode& entry(const HostId& host) { return *entries_.at(host); }
  ControlNode& control(const HostId& host) { return *controls_.at(host); }
  const std::vector<Host>& hosts() const { return hosts_; }
  std::vector<HostId> HostsOfZone(const std::string& zone) const;
  std::vector<HostId> HostsOfRegion(const std::string& region) const;
  std::map<EndpointId, FakeEndpoint>& endpoints() { return endpoints_; }
  const Topology& topology() const { return topology_; }
  FakeStore& store() { return store_; }
  HostId Leader() const;
  const ShardView& View(const std::string& region, int shard);
  std::optional<ServicePlan> StoredPlan();
  ServiceId service() const { return ServiceId(config_.service); }
  void PublishLists();
  // Hosts whose entry node has requested its exit.
  std::set<HostId> exited;
  // Violated invariants; empty if all hold.
  std::vector<std::string> violations;

 private:
  struct Event {
    Time at;
    uint64_t order = 0;
    std::function<void()> fn;
    friend bool operator<(const Event& a, const Event& b) {
      return a.at != b.at ? b.at < a.at : b.order < a.order;
    }
  };

  void StartHost(const Host& host);
  void FeedEntry(const HostId& host, const EntryEvent& event);
  void FeedControl(const HostId& host, const ControlEvent& event);
  // Runs `fn` if the host is alive. If it is frozen, runs `fn` when it wakes,
  // unless it was restarted before.
  void ForHost(const HostId& host, std::function<void()> fn);
  void PerformEntryActions(const HostId& host,
                           std::vector<EntryAction> actions);
  void PerformControlActions(const HostId& host,
                             std::vector<ControlAction> actions);
  void Deliver(const HostId& from, const Envelope& envelope);
  Duration DelayBetween(const HostId& a, const HostId& b) const;
  void SimulateDispatch(const HostId& host, const Dispatch& dispatch);
  void EndRun(const HostId& host,
              const EndpointId& endpoint,
              ExchangeId exchange,
              SlotOutcome outcome,
              const std::string& answer);
  void Crash(FakeEndpoint& endpoint);
  void PublishChange(const std::string& kind, const StoreObject& object);
  void FollowAll(const HostId& host);
  StoreReply ExecuteStoreCall(const HostId& host, const StoreCall& call);
  CallRecord* FindCall(ExchangeId exchange);
  void CheckIntentVersion(const HostId& host);
  void CheckAnswer(const CallRecord& record);

  WorldConfig config_;
  Topology topology_;
  std::vector<Host> hosts_;
  std::map<EndpointId, FakeEndpoint> endpoints_;
  FakeStore store_;
  Time now_{std::chrono::hours(1)};
  uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::map<HostId, std::unique_ptr<EntryNode>> entries_;
  std::map<HostId, std::unique_ptr<ControlNode>> controls_;
  std::map<HostId, int> starts_;
  std::map<HostId, uint64_t> entry_timers_;
  std::map<HostId, uint64_t> control_timers_;
  std::set<HostId> dead_;
  std::set<HostId> frozen_;
  std::map<HostId, std::vector<std::function<void()>>> deferred_;
  std::set<HostId> followers_;
  std::deque<CallRecord> calls_;
  std::map<ExchangeId, size_t> call_of_;
  std::map<std::string, int> runs_of_key_;
  std::map<HostId, Version> intent_seen_;
  std::mt19937_64 random_;
  uint64_t next_target_ = 0;
};

}  // namespace sassafras

#endif  // TESTS_DECISIONS_FAKE_WORLD_H_
