#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>

#include "decisions/json_forms.h"
#include "decisions/sheet.h"
#include "decisions/sheet_load.h"
#include "decisions/topology_settings.h"
#include "operators/operators.h"
#include "store/store.h"

namespace sassafras {

namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(200);
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(500);

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return std::nullopt;
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

// Reads the settings. Prints their faults and returns nothing if there are any.
std::optional<Settings> LoadSettings(const std::string& file) {
  SettingsReadResult reading = ReadSettings(file);
  for (const SettingsError& it : reading.errors)
    std::cerr << it.ToString() << '\n';
  if (!reading.errors.empty())
    return std::nullopt;
  return std::move(reading.settings);
}

struct SheetFile {
  Sheet sheet;
  SheetReading reading;
};

std::optional<SheetFile> LoadSheet(const std::string& file,
                                   const Topology& topology) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    std::cerr << "cannot open sheet file " << file << "\n";
    return std::nullopt;
  }
  return TryOr(
      [&]() -> Result<std::optional<SheetFile>> {
        BOOST_LEAF_AUTO(sheet, ParseSheet(*text, file));
        SheetReading reading = ReadSheet(sheet, topology);
        return std::optional<SheetFile>(
            SheetFile{std::move(sheet), std::move(reading)});
      },
      [](const Error& e) {
        std::cerr << e.ToString() << '\n';
        return std::optional<SheetFile>();
      });
}

Json VerdictsJson(const SheetReading& reading) {
  Json rows = Json::array();
  for (const RowVerdict& it : reading.verdicts) {
    Json row = {{"line", it.line}, {"accepted", it.accepted}};
    if (!it.accepted) {
      row["field"] = it.field;
      row["reason"] = it.reason;
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

void PrintVerdicts(const SheetReading& reading, const std::string& file) {
  for (const RowVerdict& it : reading.verdicts) {
    std::cout << file << ':' << it.line << ": ";
    if (it.accepted)
      std::cout << "accepted\n";
    else
      std::cout << "refused: " << it.field << ": " << it.reason << '\n';
  }
  for (const ServiceId& it : reading.refused_services) {
    std::cout << "service " << it
              << ": the previous intent stays in force for its refused rows\n";
  }
  std::cout << CountAccepted(reading) << " of " << reading.verdicts.size()
            << " rows accepted\n";
}

ExitCode VerdictCode(const SheetReading& reading) {
  const size_t accepted = CountAccepted(reading);
  if (accepted == 0)
    return kExitNothingAccepted;
  return accepted == reading.verdicts.size() ? kExitOk : kExitPartlyAccepted;
}

std::string NewLoadId() {
  std::random_device device;
  std::ostringstream os;
  os << std::hex << device() << device() << device() << device();
  return os.str();
}

// Runs the steps of a load against the store until its result is known. Waits
// kStoreRetryDelay before the next step if the store did not answer.
class LoadRunner {
 public:
  LoadRunner(Loop& loop, Store& store, LoadProcess& process)
      : loop_(loop), store_(store), process_(process) {}

  void RunStep(const LoadStep& step) {
    if (const auto* get = std::get_if<StoreGet>(&step)) {
      store_.Get(*get, [this](const StoreReply& reply) { HandleReply(reply); });
      return;
    }
    if (const auto* put = std::get_if<StorePut>(&step)) {
      store_.PutIf(*put,
                   [this](const StoreReply& reply) { HandleReply(reply); });
      return;
    }
    loop_.Stop();
  }

 private:
  void HandleReply(const StoreReply& reply) {
    const bool unanswered = reply.status == StoreStatus::kUnavailable ||
                            reply.status == StoreStatus::kUnknown;
    const LoadStep next = ContinueLoad(process_, reply);
    if (!unanswered || process_.phase == LoadProcess::Phase::kDone) {
      RunStep(next);
      return;
    }
    // The store may be unavailable for a short time only.
    retry_timer_ =
        loop_.After(kStoreRetryDelay, [this, next] { RunStep(next); });
  }

  Loop& loop_;
  Store& store_;
  LoadProcess& process_;
  std::unique_ptr<Watch> retry_timer_;
};

std::string ExplainOutcome(const LoadProcess& process) {
  const LoadResult& result = process.result;
  std::ostringstream os;
  const auto other = [&] {
    os << "version " << result.other_version << " by " << result.other_operator
       << " at " << result.other_at_unix_seconds << " (seconds since 1970)";
  };
  switch (result.outcome) {
    case LoadOutcome::kInForce:
      os << "accepted as version " << result.version;
      break;
    case LoadOutcome::kReplaced:
      os << "accepted as version " << result.version
         << " and since replaced by ";
      other();
      break;
    case LoadOutcome::kUnchanged:
      os << "this sheet is already in force as version " << result.version;
      break;
    case LoadOutcome::kNothingAccepted:
      os << "nothing was accepted and nothing was loaded";
      break;
    case LoadOutcome::kConflict:
      os << "not in force: another load was accepted first: ";
      other();
      break;
    case LoadOutcome::kNotAccepted:
      os << "not accepted: the store did not accept the load";
      break;
    case LoadOutcome::kUnknown:
      os << "unknown: the answer of the store was lost. To find out, run "
            "the same command with --load-id "
         << process.request.load_id;
      break;
  }
  return os.str();
}

ExitCode OutcomeCode(const LoadProcess& process) {
  switch (process.result.outcome) {
    case LoadOutcome::kInForce:
    case LoadOutcome::kReplaced:
    case LoadOutcome::kUnchanged:
      return VerdictCode(process.request.reading);
    case LoadOutcome::kNothingAccepted:
      return kExitNothingAccepted;
    case LoadOutcome::kConflict:
      return kExitConflict;
    case LoadOutcome::kNotAccepted:
      return kExitNotAccepted;
    case LoadOutcome::kUnknown:
      return kExitUnknownOutcome;
  }
  return kExitFailed;
}

// ---- Status ----

struct RolloutStatus {
  std::map<HostId, Version> hosts;
  std::set<HostId> listed;
  Version newest;
  std::string loaded_by;
  bool intent_found = false;
};

void AddStatuses(RolloutStatus& out, const std::vector<StoreObject>& objects) {
  for (const StoreObject& it : objects) {
    const auto status = TryReadPayload<ZoneStatus>(it.value);
    if (!status)
      continue;
    for (const HostReport& report : status->hosts)
      out.hosts[report.host] = report.intent_version;
  }
}

void AddListedHosts(RolloutStatus& out, const StoreReply& reply) {
  if (reply.objects.empty())
    return;
  const auto list = TryReadPayload<HostList>(reply.objects.front().value);
  if (!list)
    return;
  for (const Host& it : list->hosts)
    out.listed.insert(it.id);
}

// Reads the intent, the host list and the status reports of the zones, one
// after the other.
class StatusReader {
 public:
  StatusReader(Store& store, std::function<void(RolloutStatus)> done)
      : store_(store), done_(std::move(done)) {}

  void Start() {
    const std::string intent(NameOf(DocumentKind::kIntent));
    store_.Get({intent, kSoleDocument}, [this](const StoreReply& reply) {
      state_.intent_found = reply.status == StoreStatus::kOk;
      if (state_.intent_found) {
        const auto it = TryReadPayload<Intent>(reply.objects.front().value);
        if (it) {
          state_.newest = it->version;
          state_.loaded_by = it->loaded_by;
        }
      }
      ReadHosts();
    });
  }

 private:
  void ReadHosts() {
    const std::string hosts(NameOf(DocumentKind::kHosts));
    store_.Get({hosts, kSoleDocument}, [this](const StoreReply& reply) {
      AddListedHosts(state_, reply);
      store_.List({kStatusKind}, [this](const StoreReply& statuses) {
        AddStatuses(state_, statuses.objects);
        done_(state_);
      });
    });
  }

  Store& store_;
  std::function<void(RolloutStatus)> done_;
  RolloutStatus state_;
};

std::set<HostId> MissingHosts(const RolloutStatus& state, Version wanted) {
  std::set<HostId> missing;
  for (const HostId& it : state.listed) {
    const auto held = state.hosts.find(it);
    if (held == state.hosts.end() || held->second < wanted)
      missing.insert(it);
  }
  return missing;
}

void PrintStatus(const RolloutStatus& state, bool json) {
  const std::set<HostId> missing = MissingHosts(state, state.newest);
  if (json) {
    Json hosts = Json::object();
    for (const auto& [host, version] : state.hosts)
      hosts[host.value()] = version;
    std::cout << Json{{"version", state.newest},
                      {"loaded_by", state.loaded_by},
                      {"hosts", hosts},
                      {"missing", missing}}
                     .dump()
              << '\n';
    return;
  }
  std::cout << "version " << state.newest << " by " << state.loaded_by << '\n';
  for (const auto& [host, version] : state.hosts)
    std::cout << "  " << host << ": version " << version << " in force\n";
  for (const HostId& it : missing)
    std::cout << "  " << it << ": missing\n";
}

// Waits until version `wanted` or a later one is in force on all listed hosts.
// Returns kExitHostsMissing after `options.wait_time`.
ExitCode WaitUntilInForce(Loop& loop,
                          Store& store,
                          Version wanted,
                          const SheetOptions& options) {
  const Time end = loop.Now() + options.wait_time;
  ExitCode code = kExitHostsMissing;
  std::unique_ptr<Watch> poll_timer;
  std::unique_ptr<StatusReader> reader;
  size_t last_missing = std::string::npos;
  std::function<void()> read = [&] {
    reader =
        std::make_unique<StatusReader>(store, [&](const RolloutStatus& state) {
          const size_t missing = MissingHosts(state, wanted).size();
          if (missing != last_missing && !options.json) {
            std::cout << "in force on " << state.listed.size() - missing
                      << " of " << state.listed.size() << " hosts\n";
          }
          last_missing = missing;
          if (missing == 0 && !state.listed.empty())
            code = kExitOk;
          if (code == kExitOk || loop.Now() >= end)
            loop.Stop();
          else
            poll_timer = loop.After(kPollPeriod, read);
        });
    reader->Start();
  };
  read();
  loop.Run();
  return code;
}

void PrintLoad(const LoadProcess& process, const SheetOptions& options) {
  if (!options.json) {
    PrintVerdicts(process.request.reading, options.sheet_file);
    std::cout << ExplainOutcome(process) << '\n';
    return;
  }
  const LoadResult& result = process.result;
  Json json = {{"rows", VerdictsJson(process.request.reading)},
               {"outcome", std::string(NameOf(result.outcome))},
               {"version", result.version},
               {"load_id", process.request.load_id},
               {"explanation", ExplainOutcome(process)}};
  if (!result.other_operator.empty()) {
    json["other"] = {{"operator", result.other_operator},
                     {"version", result.other_version},
                     {"at", result.other_at_unix_seconds}};
  }
  std::cout << json.dump() << '\n';
}

}  // namespace

int RunSheetCheck(const SheetOptions& options) {
  const auto settings = LoadSettings(options.settings_file);
  if (!settings)
    return kExitBadSettings;
  const auto file = LoadSheet(options.sheet_file, MakeTopology(*settings));
  if (!file)
    return kExitNothingAccepted;
  if (options.json)
    std::cout << Json{{"rows", VerdictsJson(file->reading)}}.dump() << '\n';
  else
    PrintVerdicts(file->reading, options.sheet_file);
  return VerdictCode(file->reading);
}

int RunSheetLoad(const SheetOptions& options) {
  const auto settings = LoadSettings(options.settings_file);
  if (!settings)
    return kExitBadSettings;
  auto file = LoadSheet(options.sheet_file, MakeTopology(*settings));
  if (!file)
    return kExitNothingAccepted;
  LoadProcess process;
  process.request.load_id =
      options.load_id.empty() ? NewLoadId() : options.load_id;
  process.request.operator_name = options.operator_name;
  process.request.now = WallNow();
  process.request.sheet_hash = file->sheet.hash;
  process.request.reading = std::move(file->reading);
  Loop loop;
  const auto store =
      ConnectStore(loop, settings->store, settings->store_timeout);
  LoadRunner runner(loop, *store, process);
  runner.RunStep(BeginLoad(process));
  if (process.phase != LoadProcess::Phase::kDone)
    loop.Run();
  PrintLoad(process, options);
  const ExitCode code = OutcomeCode(process);
  const bool accepted = code == kExitOk || code == kExitPartlyAccepted;
  if (!options.wait || !accepted)
    return code;
  const ExitCode waited =
      WaitUntilInForce(loop, *store, process.result.version, options);
  return waited == kExitOk ? code : waited;
}

int RunSheetStatus(const SheetOptions& options) {
  const auto settings = LoadSettings(options.settings_file);
  if (!settings)
    return kExitBadSettings;
  Loop loop;
  const auto store =
      ConnectStore(loop, settings->store, settings->store_timeout);
  ExitCode code = kExitFailed;
  StatusReader reader(*store, [&](const RolloutStatus& state) {
    if (!state.intent_found) {
      std::cerr << "cannot read the intent from store "
                << settings->store.ToString()
                << ": it has none or is unreachable\n";
    } else {
      PrintStatus(state, options.json);
      code = MissingHosts(state, state.newest).empty() ? kExitOk
                                                       : kExitHostsMissing;
    }
    loop.Stop();
  });
  reader.Start();
  loop.Run();
  return code;
}

}  // namespace sassafras
