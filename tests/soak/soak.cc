#include "soak/soak.h"

#include <signal.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <functional>
#include <set>

#include "base/http_status.h"
#include "soak/fault_proxy.h"
#include "soak/soak_callers.h"

namespace sassafras {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint16_t kStoreProxyPort = 8150;
constexpr uint16_t kEndpointProxyPort = 8081;
constexpr milliseconds kSendPeriod{25};
constexpr milliseconds kPollPeriod{10};
constexpr milliseconds kVersionProbePeriod{60};
// Bounds as the platform's pages state them for the milestone's sites.
constexpr milliseconds kStableWindow{4000};
constexpr milliseconds kLossSlack{200};
constexpr milliseconds kRecovery{15000};
constexpr milliseconds kRouteTimeout{2000};
constexpr milliseconds kTimeoutSlack{500};
constexpr milliseconds kDrain{2500};
// A stand-in endpoint that leaves serves on for a little longer than that.
constexpr milliseconds kServesOn{3200};
// Sends of a request that crashes endpoints, later than the stable window after
// its third crash.
constexpr size_t kMostLateSends = 3;
// Time that some refusing endpoints name, and the requests of a host that may
// reach them between the grace after a refusal and the end of that time.
constexpr const char* kRetryAfter = "1.5";
constexpr milliseconds kRetryAfterTime{1500};
constexpr milliseconds kRefusalGrace{500};
constexpr int kMaxEarlyRequests = 2;
// Time after which a version must be in effect at all hosts, counted from when
// the store answers.
constexpr milliseconds kConfigApply{2500};
// A host that has shown a version may still send by an older one for this long.
constexpr milliseconds kRevertSlack{250};
// Largest age of the copy from which the store comes back, without its outage.
constexpr milliseconds kCopyPeriod{4000};
// How long lists that may be stale are behind a change.
constexpr milliseconds kStale{3000};
// Of their kinds of route, with home regions.
constexpr const char* kReadWithHomes = "/read/home/";
constexpr const char* kChargeWithHomes = "/charge/home/";
constexpr const char* kService = "rondas";
// Ids of requests that SoakCallers do not send begin so.
const std::string kProbe = "probe";
// Requests of callers that go on with the address of a host that starts again.
constexpr int kFirstRequests = 20;
constexpr milliseconds kFirstRequestPeriod{30};
// In the path of requests that crash endpoints.
constexpr const char* kCrashMark = "crash";

enum class Fault {
  kStop,
  kReload,
  kConfig,
  kLeave,
  kEvacuate,
  // Planned work ends here.
  kKill,
  kFreeze,
  kStoreDown,
  kStoreForgets,
  kCutFromStore,
  kHarmEndpoint,
  kMisbehave,
  kCrash,
};

constexpr int kPlannedFaults = static_cast<int>(Fault::kEvacuate) + 1;
constexpr int kAllFaults = static_cast<int>(Fault::kCrash) + 1;

struct SoakEndpoint {
  PlatformStandinEndpoint* standin = nullptr;
  std::unique_ptr<FaultProxy> proxy;
  std::string id;
  std::string zone;
  std::string listen;  // Address of the proxy.
  bool has_left = false;
  bool announces = false;  // Says only in answers that it leaves.
  Time left;
  int arrivals_when_drained = 0;
  int arrivals_at_check = 0;
  std::vector<Time> harmed;  // When the way to it was harmed.
};

// The home region that a version has given the routes with homes.
struct SoakHomes {
  std::string region;
  Time written;
};

struct FirstCaller {
  int host = 0;
  std::unique_ptr<PlatformStandinCaller> caller;
};

// A request on the route that only one version has, sent straight to a host.
struct VersionProbe {
  int host = 0;
  int version = 0;
  Time sent;
  std::unique_ptr<PlatformStandinCaller> caller;
  int status = 0;  // 0: there was no answer.
  Time ended;
};

struct SoakHost {
  std::unique_ptr<FaultProxy> store;
  bool is_ending = false;  // It was told to end.
  bool is_frozen = false;
  bool takes_callers = true;
  std::vector<Time> disturbed;  // When its process started or was frozen.
  std::vector<Time> starts;
  // When it was told to end, was frozen, or its way to the store was harmed.
  std::vector<std::pair<Time, Time>> harmed;
};

class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : options_(options),
        random_(options.seed),
        notice_random_(options.seed),
        home_random_(options.seed),
        version_random_(options.seed),
        copy_random_(options.seed),
        world_(options.network) {
    world_.UseAllZones();
  }

  SoakReport Run();

 private:
  bool IsPlannedOnly() const { return options_.seed % 3 == 0; }
  Loop& loop() { return world_.loop(); }
  uint64_t Pick(uint64_t n) { return random_() % n; }
  milliseconds PickTime(int from_ms, int to_ms) {
    return milliseconds(from_ms + static_cast<int>(Pick(to_ms - from_ms)));
  }
  int PickHost() { return 1 + static_cast<int>(Pick(options_.hosts)); }
  void Note(const std::string& what);
  void AddLogLines(const std::string& id);
  void Violate(const std::string& what) { report_.violations.push_back(what); }
  void ViolateRequest(const SoakRequest& request, const std::string& what);
  void Later(milliseconds delay, std::function<void()> fn);
  void Wait(milliseconds time) {
    world_.RunUntil(time, [] { return false; });
  }

  void Start();
  void AddEndpoint();
  void Register(const SoakEndpoint& endpoint);
  void Send();
  void Poll();
  void Harm();
  void BreakSomething();
  void SendFirst(int host);
  int HostOf(const std::string& id) const;
  void Stop(int host);
  void Kill(int host);
  void Freeze(int host);
  void Restart(int host, milliseconds delay);
  void ChangeConfig();
  void PutHome(const std::string& region);
  Time InEffectFrom(size_t i) const;
  size_t FindVersion(const std::string& region, size_t first, Time at) const;
  void CheckHomes(int host);
  void SilenceStore();
  void SendVersionProbes();
  void TakeVersionProbes();
  bool IsInTouch(int host, Time at) const;
  void CheckVersions(int host);
  void Leave();
  SoakEndpoint& EndpointOf(const std::string& id);
  void Evacuate();
  void HarmStore(Fault fault);
  void CutFromStore(int host);
  void HarmEndpoint();
  void Misbehave();
  void StartCrashing();
  void Heal();
  void CheckCalm();
  bool AnswersAsConfigured(int host);
  int StatusOf(int host, const std::string& path);
  void CheckCrashing(const std::string& path);
  void CheckLeaver(const SoakEndpoint& endpoint);
  void CheckRefusals(const SoakEndpoint& endpoint);
  bool IsDisturbed(int host, Time at);
  void CheckAll();

  SoakOptions options_;
  SoakReport report_;
  std::mt19937_64 random_;
  // For what endpoints say in their answers. Draws from `random_` would change
  // the faults of the seeds that have found something.
  std::mt19937_64 notice_random_;
  // For home regions; apart for the same reason.
  std::mt19937_64 home_random_;
  // For what versions look like and for connections that fall silent.
  std::mt19937_64 version_random_;
  // For copies from which the store comes back.
  std::mt19937_64 copy_random_;
  PlatformWorld world_;
  std::unique_ptr<SoakCallers> callers_;
  std::map<std::string, FirstCaller> first_callers_;  // By their request's id.
  std::map<int, SoakHost> hosts_;
  std::vector<SoakEndpoint> endpoints_;
  std::vector<SoakHomes> homes_;  // Of all versions.
  std::deque<VersionProbe> version_probes_;
  // When the store was down.
  std::vector<std::pair<Time, Time>> outages_;
  std::vector<std::unique_ptr<Watch>> timers_;
  // Requests that crash endpoints, by their path, while they come again.
  std::map<std::string, std::unique_ptr<Watch>> crashing_;
  std::unique_ptr<Watch> send_;
  std::unique_ptr<Watch> poll_;
  std::unique_ptr<Watch> probe_;
  std::unique_ptr<Watch> copy_;
  int version_ = 0;
  bool is_healing_ = false;
  int next_probe_ = 0;
  Time started_;
};

std::string RouteOf(int version) {
  return "/v" + std::to_string(version) + "/";
}

std::string RegionOf(const std::string& zone) {
  for (const StandinZone& it : kStandinZones) {
    if (zone == it.zone)
      return it.region;
  }
  return "";
}

void SoakRun::Note(const std::string& what) {
  const auto ms = Millis(loop().Now() - started_);
  report_.faults.push_back(std::to_string(ms) + " ms " + what);
}

void SoakRun::ViolateRequest(const SoakRequest& request,
                             const std::string& what) {
  Violate(request.id + " (" + request.path + ") to host " +
          std::to_string(request.host) + " " + what);
  AddLogLines(request.id);
}

// Adds what the hosts logged of the request, so that a failure that shows once
// can be traced.
void SoakRun::AddLogLines(const std::string& id) {
  for (int host = 1; host <= options_.hosts; ++host) {
    std::ifstream log(world_.LogPathOf(host));
    for (std::string line; std::getline(log, line);) {
      if (line.find("id=" + id + " ") != std::string::npos)
        report_.log_lines.push_back("host " + std::to_string(host) + ": " +
                                    line);
    }
  }
}

void SoakRun::Later(milliseconds delay, std::function<void()> fn) {
  timers_.push_back(loop().After(delay, std::move(fn)));
}

void SoakRun::AddEndpoint() {
  const int n = static_cast<int>(endpoints_.size()) + 1;
  SoakEndpoint it;
  it.zone = kStandinZones[static_cast<size_t>(n) % kStandinZones.size()].zone;
  it.standin = &world_.AddEndpoint(kService, it.zone);
  it.standin->set_work_time(PickTime(5, 60));
  it.id = "i-" + std::to_string(n);
  const nlohmann::json record = it.standin->Record(kService, it.zone);
  const Address target =
      Address::Parse(record["address"].get<std::string>()).value();
  const Address listen{target.ip, kEndpointProxyPort};
  it.proxy = std::make_unique<FaultProxy>(loop(), listen, target);
  it.listen = listen.ToString();
  it.standin->set_crash_rule([](const HttpHead& head, const std::string&) {
    return head.target.find(kCrashMark) != std::string::npos;
  });
  it.standin->set_on_restart([this, id = it.id] {
    if (!EndpointOf(id).has_left)
      Register(EndpointOf(id));
  });
  Register(it);
  endpoints_.push_back(std::move(it));
}

void SoakRun::Register(const SoakEndpoint& endpoint) {
  nlohmann::json record = endpoint.standin->Record(kService, endpoint.zone);
  record["address"] = endpoint.listen;
  world_.store().Put("servers", endpoint.id, record);
}

void SoakRun::Start() {
  started_ = loop().Now();
  callers_ = std::make_unique<SoakCallers>(world_, random_);
  ChangeConfig();
  for (int i = 0; i < options_.endpoints; ++i)
    AddEndpoint();
  for (int host = 1; host <= options_.hosts; ++host) {
    const Address listen = world_.HostAddress(host, kStoreProxyPort);
    hosts_[host].store =
        std::make_unique<FaultProxy>(loop(), listen, world_.StoreAddress());
    world_.SetStoreAddress(host, listen);
    world_.StartGateway(host);
  }
  for (int host = 1; host <= options_.hosts; ++host) {
    if (!world_.WaitReady(host))
      Violate("host " + std::to_string(host) + " did not start");
  }
  Wait(kStableWindow);
  send_ = loop().Every(kSendPeriod, [this] { Send(); });
  poll_ = loop().Every(kPollPeriod, [this] { Poll(); });
  probe_ = loop().Every(kVersionProbePeriod, [this] { SendVersionProbes(); });
  world_.store().TakeCopy();
  copy_ = loop().Every(kCopyPeriod, [this] { world_.store().TakeCopy(); });
}

void SoakRun::Send() {
  const int host = PickHost();
  if (!hosts_[host].takes_callers)
    return;
  const uint64_t kind = Pick(100);
  const bool has_homes = home_random_() % 3 == 0;
  callers_->Send(host, has_homes ? kind < 60 ? kReadWithHomes : kChargeWithHomes
                       : kind < 45 ? "/read/"
                       : kind < 60 ? "/archive/"
                       : kind < 90 ? "/charge/"
                                   : "/upload/");
}

void SoakRun::Poll() {
  callers_->Take(report_.violations);
  TakeVersionProbes();
  for (auto& [host, it] : hosts_) {
    if (!it.is_ending && world_.HasExited(host)) {
      Violate("host " + std::to_string(host) + " ended by itself, " +
              world_.last_exit());
      it.is_ending = true;
    }
  }
}

void SoakRun::Restart(int host, milliseconds delay) {
  Later(delay, [this, host] {
    if (!world_.HasExited(host)) {
      Restart(host, milliseconds(50));
      return;
    }
    callers_->ForgetHost(host);
    Note("start host " + std::to_string(host));
    world_.StartGateway(host);
    for (int i = 1; i <= kFirstRequests; ++i)
      Later(i * kFirstRequestPeriod, [this, host] { SendFirst(host); });
    hosts_[host].is_ending = false;
    hosts_[host].disturbed.push_back(loop().Now());
    hosts_[host].starts.push_back(loop().Now());
    // Callers ask the directory, which names hosts that are ready.
    Later(milliseconds(1500), [this, host] {
      hosts_[host].takes_callers = !hosts_[host].is_ending;
    });
  });
}

// Some callers go on with the address of a host that starts again.
void SoakRun::SendFirst(int host) {
  const std::string id =
      kProbe + "first" + std::to_string(first_callers_.size());
  first_callers_[id] = {host, std::make_unique<PlatformStandinCaller>(
                                  loop(), world_.CallerAddressOf(host))};
  first_callers_[id].caller->Send(RequestText("GET", kReadWithHomes + id, id));
}

// The host that callers sent the request to; 0 if it is unknown.
int SoakRun::HostOf(const std::string& id) const {
  const auto it = callers_->requests().find(id);
  if (it != callers_->requests().end())
    return it->second->host;
  const auto first = first_callers_.find(id);
  return first == first_callers_.end() ? 0 : first->second.host;
}

void SoakRun::Stop(int host) {
  SoakHost& it = hosts_[host];
  // Callers keep what they have open and find other hosts for new ones; one
  // host of six stops at a time.
  const bool another_ends =
      std::any_of(hosts_.begin(), hosts_.end(),
                  [](const auto& other) { return other.second.is_ending; });
  if (it.is_ending || it.is_frozen || (IsPlannedOnly() && another_ends))
    return;
  Note("stop host " + std::to_string(host));
  it.is_ending = true;
  it.harmed.push_back({loop().Now(), loop().Now()});
  world_.Signal(host, SIGTERM);
  Later(milliseconds(300),
        [this, host] { hosts_[host].takes_callers = false; });
  Restart(host, milliseconds(400));
}

void SoakRun::Kill(int host) {
  SoakHost& it = hosts_[host];
  if (it.is_ending || it.is_frozen)
    return;
  Note("kill host " + std::to_string(host));
  it.is_ending = true;
  it.takes_callers = false;
  world_.Signal(host, SIGKILL);
  Restart(host, PickTime(100, 1500));
}

void SoakRun::Freeze(int host) {
  SoakHost& it = hosts_[host];
  if (it.is_ending || it.is_frozen)
    return;
  Note("freeze host " + std::to_string(host));
  it.is_frozen = true;
  world_.Signal(host, SIGSTOP);
  const milliseconds time = PickTime(200, 2500);
  it.harmed.push_back({loop().Now(), loop().Now() + time});
  Later(time, [this, host] {
    world_.Signal(host, SIGCONT);
    hosts_[host].is_frozen = false;
    hosts_[host].disturbed.push_back(loop().Now());
  });
}

// Each version adds a route, drops that of the version before and moves the
// home of the routes that have one.
void SoakRun::ChangeConfig() {
  PutHome(kStandinZones[home_random_() % kStandinZones.size()].region);
}

void SoakRun::PutHome(const std::string& region) {
  if (home_random_() % 3 == 0) {
    world_.store().set_stale_lists_name_present_revision(version_random_() % 2);
    world_.store().set_stale_lists(true);
    Later(kStale, [this] { world_.store().set_stale_lists(false); });
  }
  ++version_;
  Note("configuration " + std::to_string(version_) + ", home " + region);
  homes_.push_back({region, loop().Now()});
  for (const char* it : {kReadWithHomes, kChargeWithHomes})
    world_.SetHomes(it, {region});
  nlohmann::json config = world_.ConfigJson(version_, RouteOf(version_));
  if (version_random_() % 3 == 0)
    config["hosts"][0]["paths"].push_back({{"path-prefix", "/odd/"}});
  world_.store().Put("config", "main", config);
  if (!IsPlannedOnly() && version_random_() % 4 == 0)
    SilenceStore();
}

// The connections of some hosts to the store fall silent; new ones work.
void SoakRun::SilenceStore() {
  const uint64_t one_of = 1 + version_random_() % 3;
  for (auto& [host, it] : hosts_) {
    if (!it.store || version_random_() % one_of != 0)
      continue;
    Note("silence host " + std::to_string(host) + " and the store");
    it.store->SilenceAll();
    it.harmed.push_back({loop().Now(), loop().Now()});
  }
}

// On the route of the newest version, which may not be in effect yet, and on
// the one that it has dropped.
void SoakRun::SendVersionProbes() {
  const int host = 1 + static_cast<int>(version_random_() % hosts_.size());
  for (const int version : {version_, version_ - 1}) {
    if (version < 1)
      continue;
    version_probes_.push_back({host,
                               version,
                               loop().Now(),
                               std::make_unique<PlatformStandinCaller>(
                                   loop(), world_.CallerAddressOf(host)),
                               0,
                               {}});
    version_probes_.back().caller->Send(RequestText(
        "GET", RouteOf(version) + "1", kProbe + std::to_string(++next_probe_)));
  }
}

void SoakRun::TakeVersionProbes() {
  for (VersionProbe& it : version_probes_) {
    if (!it.caller)
      continue;
    if (!it.caller->answers().empty())
      it.status = it.caller->answers()[0].head.status;
    const bool has_ended = it.status != 0 || it.caller->is_closed() ||
                           loop().Now() - it.sent > kRouteTimeout;
    if (has_ended) {
      it.caller.reset();
      it.ended = loop().Now();
    }
  }
}

void SoakRun::Leave() {
  const auto left = std::count_if(endpoints_.begin(), endpoints_.end(),
                                  [](const auto& it) { return !it.has_left; });
  AddEndpoint();
  if (left < 3)
    return;
  SoakEndpoint& it = endpoints_[Pick(endpoints_.size() - 1)];
  if (it.has_left)
    return;
  const bool is_told = Pick(2) == 0;
  it.announces = notice_random_() % 3 == 0;
  const char* how = is_told ? "drain " : "remove ";
  Note((it.announces ? "leave, said in answers only: " : how) + it.id);
  it.has_left = true;
  it.left = loop().Now();
  if (it.announces) {
    it.standin->set_leaving(true);
  } else if (is_told) {
    nlohmann::json record = it.standin->Record(kService, it.zone);
    record["state"] = "draining";
    record["address"] = it.listen;
    world_.store().Put("servers", it.id, record);
  } else {
    world_.store().Delete("servers", it.id);
  }
  Later(kDrain, [this, id = it.id] {
    SoakEndpoint& endpoint = EndpointOf(id);
    endpoint.arrivals_when_drained = endpoint.standin->arrivals();
  });
  Later(kServesOn, [this, id = it.id] {
    SoakEndpoint& endpoint = EndpointOf(id);
    // Hosts that are cut off or frozen may not know that it leaves.
    if (IsPlannedOnly() && !endpoint.announces &&
        endpoint.standin->arrivals() > endpoint.arrivals_when_drained)
      Violate("requests reach " + id + " later than its drain time");
    endpoint.proxy->set_mode(ProxyMode::kRefuse);
    world_.store().Delete("servers", id);
  });
}

SoakEndpoint& SoakRun::EndpointOf(const std::string& id) {
  return *std::find_if(endpoints_.begin(), endpoints_.end(),
                       [&](const auto& it) { return it.id == id; });
}

void SoakRun::Evacuate() {
  const std::string zone = kStandinZones[Pick(kStandinZones.size())].zone;
  Note("evacuate " + zone);
  world_.store().Put("evacuations", zone, nlohmann::json::object());
  Later(PickTime(800, 2500),
        [this, zone] { world_.store().Delete("evacuations", zone); });
}

void SoakRun::HarmStore(Fault fault) {
  if (fault == Fault::kStoreForgets) {
    Note("store forgets");
    world_.store().DropWatchEvents();
    ChangeConfig();
    world_.store().DropHistory();
    return;
  }
  Note("store down");
  world_.store().set_down(true);
  const milliseconds time = PickTime(300, 2500);
  outages_.push_back({loop().Now(), loop().Now() + time});
  const bool comes_from_copy = copy_random_() % 4 != 0;
  Later(time, [this, comes_from_copy] {
    if (comes_from_copy) {
      // Accepted while the hosts could not reach the store.
      ChangeConfig();
      Note("store comes back from a copy");
      world_.store().ComeBackFromCopy();
      world_.store().WriteLostAgain();
    }
    world_.store().set_down(false);
  });
}

void SoakRun::CutFromStore(int host) {
  constexpr ProxyMode kModes[] = {ProxyMode::kSilent, ProxyMode::kCutTowards,
                                  ProxyMode::kCutBackward, ProxyMode::kRefuse,
                                  ProxyMode::kDelay};
  FaultProxy* proxy = hosts_[host].store.get();
  Note("cut host " + std::to_string(host) + " from the store");
  proxy->set_mode(kModes[Pick(std::size(kModes))]);
  if (Pick(2) == 0)
    proxy->ResetAll();
  const milliseconds time = PickTime(300, 3000);
  hosts_[host].harmed.push_back({loop().Now(), loop().Now() + time});
  Later(time, [proxy] { proxy->set_mode(ProxyMode::kPass); });
}

void SoakRun::HarmEndpoint() {
  constexpr ProxyMode kModes[] = {
      ProxyMode::kSilent, ProxyMode::kCutTowards, ProxyMode::kCutBackward,
      ProxyMode::kRefuse, ProxyMode::kDelay,      ProxyMode::kPass};
  SoakEndpoint& it = endpoints_[Pick(endpoints_.size())];
  if (it.has_left)
    return;
  Note("harm the way to " + it.id);
  it.harmed.push_back(loop().Now());
  it.proxy->set_mode(kModes[Pick(std::size(kModes))]);
  if (Pick(2) == 0)
    it.proxy->ResetAll();
  Later(PickTime(200, 2000), [this, id = it.id] {
    SoakEndpoint& endpoint = EndpointOf(id);
    if (!endpoint.has_left)
      endpoint.proxy->set_mode(ProxyMode::kPass);
  });
}

void SoakRun::Misbehave() {
  constexpr StandinBehavior kActs[] = {StandinBehavior::kShed,
                                       StandinBehavior::kCloseWithoutAnswer,
                                       StandinBehavior::kTruncatedBody,
                                       StandinBehavior::kUnsigned,
                                       StandinBehavior::kForeignAnswerFirst,
                                       StandinBehavior::kUnframed,
                                       StandinBehavior::kServerError,
                                       StandinBehavior::kMisdirected};
  PlatformStandinEndpoint* it = endpoints_[Pick(endpoints_.size())].standin;
  Note("an endpoint misbehaves");
  const StandinBehavior act = kActs[Pick(std::size(kActs))];
  it->set_behavior(act);
  const bool names_time =
      act == StandinBehavior::kShed && notice_random_() % 2 == 0;
  it->set_retry_after(names_time ? kRetryAfter : "");
  Later(PickTime(300, 2000),
        [it] { it->set_behavior(StandinBehavior::kAnswer); });
}

// The same request comes again and again, through any host, until calm.
void SoakRun::StartCrashing() {
  const std::string path = (Pick(2) == 0 ? "/read/" : "/charge/") +
                           (kCrashMark + std::to_string(crashing_.size()));
  Note(path + " begins to crash endpoints");
  crashing_[path] = loop().Every(PickTime(150, 500), [this, path] {
    const int host = PickHost();
    if (hosts_[host].takes_callers)
      callers_->SendAgain(host, path);
  });
}

void SoakRun::BreakSomething() {
  const int kinds = IsPlannedOnly() ? kPlannedFaults : kAllFaults;
  const int host = PickHost();
  switch (const auto fault = static_cast<Fault>(Pick(kinds)); fault) {
    case Fault::kStop:
      return Stop(host);
    case Fault::kReload:
      Note("reload host " + std::to_string(host));
      if (!hosts_[host].is_ending)
        world_.Signal(host, SIGHUP);
      return;
    case Fault::kConfig:
      return ChangeConfig();
    case Fault::kLeave:
      return Leave();
    case Fault::kEvacuate:
      return Evacuate();
    case Fault::kKill:
      return Kill(host);
    case Fault::kFreeze:
      return Freeze(host);
    case Fault::kStoreDown:
    case Fault::kStoreForgets:
      return HarmStore(fault);
    case Fault::kCutFromStore:
      return CutFromStore(host);
    case Fault::kHarmEndpoint:
      return HarmEndpoint();
    case Fault::kMisbehave:
      return Misbehave();
    case Fault::kCrash:
      return StartCrashing();
  }
}

void SoakRun::Harm() {
  const Time end = loop().Now() + options_.harm;
  while (loop().Now() < end) {
    BreakSomething();
    Wait(PickTime(50, 400));
  }
}

// All faults end by themselves within 3.5 s; hosts that were told to end are
// back.
void SoakRun::Heal() {
  Wait(kServesOn + milliseconds(300));
  const bool is_back = world_.RunUntil(kRecovery, [this] {
    return std::all_of(hosts_.begin(), hosts_.end(), [](const auto& it) {
      return !it.second.is_ending && it.second.takes_callers;
    });
  });
  if (!is_back)
    Violate("a host is not back after the faults");
  for (auto& [path, timer] : crashing_)
    timer.reset();
  const auto serving =
      std::find_if(endpoints_.begin(), endpoints_.end(),
                   [](const auto& it) { return !it.has_left; });
  PutHome(RegionOf(serving->zone));
  Note("calm");
  Wait(kStableWindow);
}

int SoakRun::StatusOf(int host, const std::string& path) {
  PlatformStandinCaller caller(loop(), world_.CallerAddressOf(host));
  caller.Send(
      RequestText("GET", path + "1", kProbe + std::to_string(++next_probe_)));
  world_.RunUntil(kRouteTimeout + kTimeoutSlack, [&] {
    return !caller.answers().empty() || caller.is_closed();
  });
  return caller.answers().empty() ? 0 : caller.answers()[0].head.status;
}

bool SoakRun::AnswersAsConfigured(int host) {
  const int on_new = StatusOf(host, RouteOf(version_));
  const int on_old = StatusOf(host, RouteOf(version_ - 1));
  if (on_new == kHttpOk && on_old == kHttpNotFound)
    return true;
  Violate("host " + std::to_string(host) + " answers " +
          std::to_string(on_new) + " on the newest route, " +
          std::to_string(on_old) + " on the dropped one");
  return false;
}

// In calm, every host has the newest configuration, serves, and sends nothing
// to endpoints that have left.
void SoakRun::CheckCalm() {
  for (SoakEndpoint& it : endpoints_)
    it.arrivals_at_check = it.standin->arrivals();
  for (int host = 1; host <= options_.hosts; ++host)
    AnswersAsConfigured(host);
  const Time from = loop().Now();
  Wait(milliseconds(1500));
  for (const SoakEndpoint& it : endpoints_) {
    const bool is_late = it.has_left && loop().Now() - it.left > kDrain * 2;
    if (is_late && it.standin->arrivals() > it.arrivals_at_check)
      Violate("requests reach " + it.id + ", which has left");
  }
  Wait(kRouteTimeout + kTimeoutSlack);
  for (const auto& [id, it] : callers_->requests()) {
    const bool is_watched =
        it->sent >= from && it->sent < from + milliseconds(1400);
    if (is_watched && !it->has_left && it->status != kHttpOk)
      ViolateRequest(*it,
                     "is answered " + std::to_string(it->status) + " in calm");
  }
}

void SoakRun::CheckCrashing(const std::string& path) {
  std::vector<const PlatformStandinEndpoint::Run*> runs;
  for (const SoakEndpoint& endpoint : endpoints_) {
    for (const auto& run : endpoint.standin->runs()) {
      if (run.head.target == path)
        runs.push_back(&run);
    }
  }
  constexpr size_t kThird = 2;
  if (runs.size() <= kThird)
    return;
  std::sort(runs.begin(), runs.end(),
            [](const auto* a, const auto* b) { return a->begun < b->begun; });
  const Time from = runs[kThird]->begun + kStableWindow;
  size_t n = 0;
  std::string hosts;
  for (const auto* run : runs) {
    const SoakRequest& request = *callers_->requests().at(run->request_id);
    if (run->begun <= from || IsDisturbed(request.host, run->begun))
      continue;
    ++n;
    hosts += " " + std::to_string(request.host);
  }
  if (n > kMostLateSends)
    Violate(path + " was sent " + std::to_string(n) +
            " times after its third crash, by hosts" + hosts);
}

// Whether the host started or was frozen lately.
bool SoakRun::IsDisturbed(int host, Time at) {
  const std::vector<Time>& times = hosts_[host].disturbed;
  return std::any_of(times.begin(), times.end(), [&](Time it) {
    return it <= at && at < it + kStableWindow;
  });
}

// A host that has passed on an endpoint's word sends it nothing more, whatever
// happens, until the host starts again or is frozen.
void SoakRun::CheckLeaver(const SoakEndpoint& endpoint) {
  if (!endpoint.announces)
    return;
  const auto& requests = callers_->requests();
  std::map<int, Time> passed_on;
  for (const auto& run : endpoint.standin->runs()) {
    const auto it = requests.find(run.request_id);
    if (it == requests.end() || it->second->status != kHttpOk ||
        !endpoint.standin->HasSaidLeaving(run.request_id))
      continue;
    const auto [first, is_new] =
        passed_on.emplace(it->second->host, it->second->done);
    first->second = std::min(first->second, it->second->done);
  }
  for (const auto& arrival : endpoint.standin->all_arrivals()) {
    const auto it = requests.find(arrival.request_id);
    if (it == requests.end())
      continue;
    const SoakRequest& request = *it->second;
    const auto from = passed_on.find(request.host);
    if (from == passed_on.end() || request.sent <= from->second + kDrain)
      continue;
    const std::vector<Time>& times = hosts_[request.host].disturbed;
    const bool is_excused = std::any_of(
        times.begin(), times.end(),
        [&](Time at) { return from->second <= at && at <= request.sent; });
    if (!is_excused)
      ViolateRequest(request, "reaches " + endpoint.id + ", which leaves");
  }
}

// A host sends next to nothing to an endpoint that has named a time.
void SoakRun::CheckRefusals(const SoakEndpoint& endpoint) {
  const auto host_of = [&](const std::string& id) {
    const auto it = callers_->requests().find(id);
    return it == callers_->requests().end() ? 0 : it->second->host;
  };
  for (const auto& refusal : endpoint.standin->refusals()) {
    const int host = host_of(refusal.request_id);
    const bool is_excused =
        IsDisturbed(host, refusal.at + kRetryAfterTime) ||
        std::any_of(endpoint.harmed.begin(), endpoint.harmed.end(),
                    [&](Time at) {
                      return at < refusal.at + kRetryAfterTime &&
                             refusal.at < at + kStableWindow;
                    });
    if (refusal.retry_after.empty() || is_excused)
      continue;
    int early = 0;
    for (const auto& it : endpoint.standin->all_arrivals()) {
      early += it.at > refusal.at + kRefusalGrace &&
               it.at < refusal.at + kRetryAfterTime &&
               host_of(it.request_id) == host;
    }
    if (early > kMaxEarlyRequests)
      Violate("host " + std::to_string(host) + " sent " +
              std::to_string(early) + " requests to " + endpoint.id +
              " before the time it had named");
  }
}

// When the version `i` must be in effect at all hosts.
Time SoakRun::InEffectFrom(size_t i) const {
  Time known = homes_[i].written;
  for (const auto& [begin, end] : outages_) {
    if (begin <= known + kConfigApply && known < end)
      known = end;
  }
  return known + kConfigApply;
}

// The oldest version from `first` on that may be in effect at `at` and has this
// home; homes_.size() if there is none.
size_t SoakRun::FindVersion(const std::string& region,
                            size_t first,
                            Time at) const {
  for (size_t i = first; i < homes_.size() && homes_[i].written <= at; ++i) {
    const bool is_replaced = i + 1 < homes_.size() && InEffectFrom(i + 1) < at;
    if (homes_[i].region == region && !is_replaced)
      return i;
  }
  return homes_.size();
}

// Whether the rules with a time limit bind the host.
bool SoakRun::IsInTouch(int host, Time at) const {
  const auto is_near = [&](const std::pair<Time, Time>& it) {
    return it.first <= at && at < it.second + kStableWindow;
  };
  const SoakHost& it = hosts_.at(host);
  return std::none_of(it.harmed.begin(), it.harmed.end(), is_near) &&
         std::none_of(outages_.begin(), outages_.end(), is_near) &&
         std::none_of(it.starts.begin(), it.starts.end(), [&](Time start) {
           return is_near({start, start});
         });
}

// A version is in effect in time, and no older one again in the same process.
void SoakRun::CheckVersions(int host) {
  int shown = 0;  // Newest version whose route it has served.
  Time shown_at;
  Time started;
  for (const VersionProbe& it : version_probes_) {
    if (it.host != host || (it.status != kHttpOk && it.status != kHttpNotFound))
      continue;
    for (const Time start : hosts_[host].starts) {
      if (start <= it.sent && start > started) {
        started = start;
        shown = 0;
      }
    }
    const auto next = static_cast<size_t>(it.version);
    const bool is_newest =
        next >= homes_.size() || it.ended < homes_[next].written;
    const bool is_served = it.status == kHttpOk;
    const Time due = is_served && next < homes_.size() ? InEffectFrom(next)
                                                       : InEffectFrom(next - 1);
    const bool is_late = (is_served ? next < homes_.size() : is_newest) &&
                         it.sent > due && IsInTouch(host, it.sent);
    const bool is_older =
        shown_at + kRevertSlack < it.sent &&
        (is_served ? it.version < shown : it.version == shown && is_newest);
    if (is_late || is_older)
      Violate("host " + std::to_string(host) + " answers " +
              std::to_string(it.status) + " on the route of version " +
              std::to_string(it.version) + " at " +
              std::to_string(Millis(it.sent - started_)) + " ms, " +
              (is_late
                   ? "too late"
                   : "after it had shown version " + std::to_string(shown)));
    if (is_served && it.version > shown) {
      shown = it.version;
      shown_at = it.ended;
    }
  }
}

// Requests whose routes have homes reach no other region, whatever happens to
// the host. Its own sends show which version it has; it does not go back, even
// if it starts again.
void SoakRun::CheckHomes(int host) {
  struct Send {
    Time at;
    const SoakEndpoint* endpoint;
    std::string id;
  };
  std::vector<Send> sends;
  for (const SoakEndpoint& endpoint : endpoints_) {
    for (const auto& arrival : endpoint.standin->all_arrivals()) {
      const bool has_homes = arrival.target.rfind(kReadWithHomes, 0) == 0 ||
                             arrival.target.rfind(kChargeWithHomes, 0) == 0;
      if (has_homes && HostOf(arrival.request_id) == host)
        sends.push_back({arrival.at, &endpoint, arrival.request_id});
    }
  }
  std::sort(sends.begin(), sends.end(),
            [](const Send& a, const Send& b) { return a.at < b.at; });
  std::vector<std::pair<Time, size_t>> shown;
  for (const Send& it : sends) {
    size_t first = 0;
    for (const auto& [at, version] : shown) {
      if (at + kRevertSlack < it.at)
        first = std::max(first, version);
    }
    const std::string region = RegionOf(it.endpoint->zone);
    const size_t version = FindVersion(region, first, it.at);
    if (version < homes_.size()) {
      shown.push_back({it.at, version});
      continue;
    }
    Violate(it.id + " to host " + std::to_string(host) + " reaches " +
            it.endpoint->id + " in " + region + " at " +
            std::to_string(Millis(it.at - started_)) + " ms");
    AddLogLines(it.id);
  }
}

// What holds at all times, from what callers and endpoints have seen.
void SoakRun::CheckAll() {
  std::map<std::string, int> runs;
  const auto& requests = callers_->requests();
  for (const SoakEndpoint& endpoint : endpoints_) {
    CheckLeaver(endpoint);
    CheckRefusals(endpoint);
    for (const auto& run : endpoint.standin->runs()) {
      ++runs[run.request_id];
      if (run.request_id.rfind(kProbe, 0) == 0)
        continue;
      const auto it = requests.find(run.request_id);
      if (it == requests.end() || it->second->body != run.body ||
          it->second->path != run.head.target)
        Violate("unasked run of " + run.request_id + " at " + endpoint.id);
    }
  }
  for (int host = 1; host <= options_.hosts; ++host)
    CheckHomes(host);
  for (int host = 1; host <= options_.hosts; ++host)
    CheckVersions(host);
  for (const auto& [path, timer] : crashing_)
    CheckCrashing(path);
  for (const auto& [id, it] : requests) {
    ++report_.requests;
    const bool is_refused = it->status == kHttpServiceUnavailable ||
                            it->status == kHttpTooManyRequests;
    report_.served += it->status == kHttpOk;
    report_.refused += is_refused;
    report_.failed += it->status >= kHttpBadGateway && !is_refused;
    report_.cut += it->is_cut;
    const int n = runs.count(id) > 0 ? runs[id] : 0;
    if (!it->may_repeat && n > 1)
      ViolateRequest(*it, "ran " + std::to_string(n) + " times");
    if (is_refused && n > 0)
      ViolateRequest(*it, "was said not to have run, but did");
    if (it->status == kHttpNotFound)
      ViolateRequest(*it, "was denied on a route that always was");
    if (!IsPlannedOnly() || it->has_left)
      continue;
    // One behind another's answer that closes was not read, as the pages say.
    const bool is_late = !it->is_behind && it->done - it->sent > kLossSlack;
    if (it->is_cut && (n > 0 || is_late))
      ViolateRequest(
          *it, "was lost after " + std::to_string(Millis(it->done - it->sent)) +
                   " ms in planned work; runs: " + std::to_string(n));
    if (it->status == kHttpBadGateway || it->status == kHttpGatewayTimeout)
      ViolateRequest(*it, "failed with " + std::to_string(it->status) +
                              " in planned work");
  }
}

SoakReport SoakRun::Run() {
  Start();
  for (int i = 0; i < options_.rounds && report_.violations.empty(); ++i) {
    Harm();
    Heal();
    CheckCalm();
  }
  send_.reset();
  probe_.reset();
  Wait(kRouteTimeout + kTimeoutSlack);
  poll_.reset();
  CheckAll();
  return report_;
}

}  // namespace

SoakReport RunSoak(const SoakOptions& options) {
  return SoakRun(options).Run();
}

}  // namespace sassafras
