#include "standins/platform_world.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/http_status.h"

namespace sassafras {

namespace {

using Json = nlohmann::json;

constexpr uint16_t kCallersPort = 8144;
constexpr uint16_t kReadinessPort = 8140;
constexpr uint16_t kOperatorsPort = 8146;
constexpr uint16_t kDirectoryPort = 8143;
constexpr uint16_t kStorePort = 8142;
constexpr uint16_t kEndpointPort = 8080;
constexpr auto kPollPeriod = std::chrono::milliseconds(5);
// Stands for a text of PutText() in an object.
const std::string kTextMark = "text:";
constexpr HttpReadLimits kLimits{64 << 10, 256 << 20};

template <typename T>
T OrDie(Result<T> result) {
  if (!result)
    std::abort();
  return std::move(result.value());
}

}  // namespace

PlatformStandinStore::PlatformStandinStore(Loop& loop, const Address& listen)
    : loop_(loop) {
  HttpServerConfig config;
  config.listen = listen;
  config.max_connections = 500;
  server_ = OrDie(StartHttpServer(
      loop, config, [this](const Session& session) { Answer(session); }));
}

Json PlatformStandinStore::BodyOf(const std::string& kind,
                                  const std::string& name) {
  const Object& object = kinds_[kind][name];
  return Json{{"metadata",
               {{"name", name},
                {"revision", object.revision},
                {"created", 1},
                {"finalizers", Json::array()},
                {"deleting", false}}},
              {"specification", object.specification},
              {"status", nullptr}};
}

void PlatformStandinStore::Record(const std::string& kind,
                                  const std::string& name,
                                  bool deleted) {
  events_.push_back({revision_,
                     kind,
                     {{"deleted", deleted}, {"object", BodyOf(kind, name)}}});
  if (deleted)
    kinds_[kind].erase(name);
  for (const auto& it : std::vector<std::shared_ptr<Waiting>>(waiting_)) {
    if (!it->deaf && TryAnswerWatch(*it))
      waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), it),
                     waiting_.end());
  }
}

void PlatformStandinStore::Put(const std::string& kind,
                               const std::string& name,
                               const Json& specification) {
  kinds_[kind][name] = {++revision_, specification};
  Record(kind, name, false);
}

void PlatformStandinStore::PutText(const std::string& kind,
                                   const std::string& name,
                                   const std::string& text) {
  Put(kind, name, kTextMark + std::to_string(texts_.size()));
  texts_.push_back(text);
}

std::string PlatformStandinStore::Dump(const Json& body) const {
  std::string out = body.dump();
  for (size_t i = 0; i < texts_.size(); ++i) {
    const std::string mark = '"' + (kTextMark + std::to_string(i)) + '"';
    for (size_t at = out.find(mark); at != std::string::npos;
         at = out.find(mark, at + texts_[i].size()))
      out.replace(at, mark.size(), texts_[i]);
  }
  return out;
}

void PlatformStandinStore::Delete(const std::string& kind,
                                  const std::string& name) {
  ++revision_;
  Record(kind, name, true);
}

void PlatformStandinStore::DeafenWatches() {
  for (const auto& it : waiting_)
    it->deaf = true;
}

void PlatformStandinStore::DropHistory() {
  events_.clear();
  history_from_ = revision_ + 1;
}

void PlatformStandinStore::EndWatches() {
  for (const auto& it : std::exchange(waiting_, {})) {
    it->session->set_on_disconnect(nullptr);
    it->session->Respond(kHttpServiceUnavailable, {}, "");
  }
}

void PlatformStandinStore::Answer(const Session& session) {
  ++calls_;
  if (down_) {
    session->Respond(kHttpServiceUnavailable, {}, "");
    return;
  }
  const std::string prefix = "/objects/";
  std::string kind = session->path().substr(prefix.size());
  kind = kind.substr(0, kind.find('/'));
  if (session->method() != "GET")
    AnswerWrite(session, kind);
  else if (session->Argument("watch"))
    AnswerWatch(session, kind);
  else
    AnswerList(session, kind);
}

void PlatformStandinStore::AnswerWrite(const Session& session,
                                       const std::string& kind) {
  session->ReadBody(1 << 20, [this, session, kind](auto body) {
    const Json json = Json::parse(*body);
    const std::string name = json["metadata"]["name"];
    if (session->method() == "POST" && kinds_[kind].count(name) > 0) {
      session->Respond(kHttpConflict, {}, BodyOf(kind, name).dump());
      return;
    }
    Put(kind, name, json["specification"]);
    session->Respond(kHttpOk, {}, BodyOf(kind, name).dump());
  });
}

void PlatformStandinStore::AnswerList(const Session& session,
                                      const std::string& kind) {
  Json items = Json::array();
  const auto& objects = kinds_[kind];
  auto it = objects.upper_bound(session->Argument("after").value_or(""));
  for (; it != objects.end() && items.size() < page_size_; ++it)
    items.push_back(BodyOf(kind, it->first));
  session->Respond(kHttpOk, {},
                   Dump({{"items", items},
                         {"has-more", it != objects.end()},
                         {"as-of", revision_}}));
}

bool PlatformStandinStore::TryAnswerWatch(Waiting& waiting) {
  Json events = Json::array();
  for (const Event& it : events_) {
    if (it.kind == waiting.kind && it.revision > waiting.from)
      events.push_back(it.body);
  }
  if (events.empty())
    return false;
  waiting.session->set_on_disconnect(nullptr);
  waiting.session->Respond(kHttpOk, {},
                           Dump({{"events", events}, {"as-of", revision_}}));
  return true;
}

void PlatformStandinStore::AnswerWatch(const Session& session,
                                       const std::string& kind) {
  auto waiting = std::make_shared<Waiting>();
  waiting->kind = kind;
  waiting->from = std::stoull(*session->Argument("watch"));
  waiting->session = session;
  if (waiting->from + 1 < history_from_) {
    session->Respond(kHttpGone, {}, "{}");
    return;
  }
  if (TryAnswerWatch(*waiting))
    return;
  waiting_.push_back(waiting);
  // It may be gone by then, and another one be in its place in memory.
  const auto drop = [this, weak = std::weak_ptr<Waiting>(waiting)] {
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), weak.lock()),
                   waiting_.end());
  };
  session->set_on_disconnect([this, drop] { loop_.Post(drop); });
  const auto wait =
      std::chrono::milliseconds(std::stoll(*session->Argument("wait-ms")));
  waiting->timer = loop_.After(wait, [this, raw = waiting.get(), drop] {
    // One that was deaf knows no more than at its start.
    const uint64_t as_of = raw->deaf ? raw->from : revision_;
    raw->session->set_on_disconnect(nullptr);
    raw->session->Respond(
        kHttpOk, {}, Json{{"events", Json::array()}, {"as-of", as_of}}.dump());
    loop_.Post(drop);
  });
}

PlatformStandinEndpoint::PlatformStandinEndpoint(Loop& loop,
                                                 std::string id,
                                                 const Address& listen)
    : loop_(loop), id_(std::move(id)), listen_(listen) {
  StartListening();
}

void PlatformStandinEndpoint::StartListening() {
  listener_ = OrDie(Listen(listen_));
  accept_ = loop_.OnSocket(listener_.fd(), Ready::kRead,
                           [this](bool, bool) { Accept(); });
}

void PlatformStandinEndpoint::Crash() {
  ++crashes_;
  accept_.reset();
  listener_ = Socket();
  for (const auto& it : std::exchange(connections_, {})) {
    it->work.reset();
    it->endless.reset();
    it->stream->Close();
  }
  restart_ = loop_.After(kStandinDownTime, [this] {
    StartListening();
    if (on_restart_)
      on_restart_();
  });
}

Json PlatformStandinEndpoint::Record(const std::string& service,
                                     const std::string& zone) const {
  return Json{{"service", service},
              {"address", listen_.ToString()},
              {"zone", zone},
              {"version", "v1"},
              {"slots", 4},
              {"state", "ready"},
              {"cold-remaining-s", 0},
              {"sequence", 1},
              {"born", 1 + crashes_}};
}

void PlatformStandinEndpoint::Accept() {
  Socket socket = AcceptConnection(listener_);
  if (!socket.valid())
    return;
  auto connection = std::make_shared<Connection>();
  connection->stream = Stream::Adopt(loop_, std::move(socket));
  connection->reader = NewRequestReader(kLimits);
  connections_.push_back(connection);
  Stream::Handlers handlers;
  handlers.on_data = [this, connection](std::string_view data) {
    OnData(connection, data);
  };
  handlers.on_end = [this, connection](StreamEnd) {
    if (connection->work)
      ++cancelled_;
    connection->work.reset();
    connection->endless.reset();
  };
  connection->stream->Start(std::move(handlers));
}

void PlatformStandinEndpoint::OnData(
    const std::shared_ptr<Connection>& connection,
    std::string_view data) {
  connection->input += data;
  const size_t n = connection->reader->Read(connection->input);
  connection->input.erase(0, n);
  connection->body += connection->reader->TakeBody();
  if (connection->reader->state() == HttpReadState::kComplete)
    Handle(connection);
}

void PlatformStandinEndpoint::Handle(
    const std::shared_ptr<Connection>& connection) {
  ++arrivals_;
  const HttpHead head = connection->reader->head();
  const std::string* id = FindField(head.fields, "Request-Id");
  const std::string request_id = id ? *id : "";
  const std::string* meant = FindField(head.fields, "Target-Instance");
  const std::string body = std::exchange(connection->body, {});
  connection->reader = NewRequestReader(kLimits);
  const bool is_other =
      act_ == StandinAct::kMisdirected || (meant && *meant != id_);
  if (is_other || act_ == StandinAct::kShed) {
    // After the work's time, as from a queue.
    connection->work = loop_.After(work_, [connection, request_id, is_other] {
      connection->work.reset();
      HttpFields fields = {{"Request-Id", request_id}, {"Content-Length", "0"}};
      if (!is_other)
        fields.push_back({"Not-Executed", "1"});
      connection->last_refusal = FormatAnswerHead(is_other ? 421 : 503, fields);
      connection->stream->Write(connection->last_refusal);
    });
    return;
  }
  runs_.push_back({request_id, head, body, loop_.Now()});
  if (crash_rule_ && crash_rule_(head, body)) {
    // On a later turn: the connection's own handler is running.
    loop_.Post([this] { Crash(); });
    return;
  }
  if (act_ == StandinAct::kShedUnnamed) {
    connection->stream->Write(FormatAnswerHead(
        503, {{"Not-Executed", "1"}, {"Content-Length", "0"}}));
  } else if (act_ == StandinAct::kShedAgain) {
    connection->stream->Write(connection->last_refusal);
  }
  connection->work = loop_.After(work_, [this, connection, request_id] {
    connection->work.reset();
    Finish(connection, request_id);
  });
}

bool PlatformStandinEndpoint::is_sending_endlessly() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& it) { return it->endless != nullptr; });
}

void PlatformStandinEndpoint::SendEndlessly(
    const std::shared_ptr<Connection>& connection,
    const std::string& begin,
    const std::string& more) {
  constexpr size_t kBlock = 16 << 10;
  std::string block;
  while (block.size() < kBlock)
    block += more;
  connection->stream->Write(begin);
  connection->endless =
      loop_.Every(std::chrono::milliseconds(1), [connection, block] {
        if (connection->stream->pending() == 0)
          connection->stream->Write(block);
      });
}

void PlatformStandinEndpoint::Finish(
    const std::shared_ptr<Connection>& connection,
    const std::string& id) {
  Stream& stream = *connection->stream;
  const std::string body = "answer to " + id;
  HttpFields fields = {{"Request-Id", id},
                       {"Server-Seal", "seal-" + id},
                       {"Server-Load", "1,0,4"},
                       {"Keep-Alive", "timeout=10"},
                       {"Content-Length", std::to_string(body.size())}};
  switch (act_) {
    case StandinAct::kBreak:
      stream.Close();
      return;
    case StandinAct::kHalfAnswer:
      stream.Write(FormatAnswerHead(200, fields) + body.substr(0, 3));
      stream.CloseGracefully();
      return;
    case StandinAct::kCutHead:
    case StandinAct::kCutChunkedHead: {
      if (act_ == StandinAct::kCutChunkedHead)
        fields.back() = {"Transfer-Encoding", "chunked"};
      const std::string head = FormatAnswerHead(200, fields);
      head_size_ = head.size();
      stream.Write(head.substr(0, head_cut_));
      stream.CloseGracefully();
      return;
    }
    case StandinAct::kUnsigned:
      fields.erase(fields.begin() + 1);
      break;
    case StandinAct::kForeign: {
      HttpFields other = fields;
      other[0].value = "another";
      other[1].value = "seal-another";
      stream.Write(FormatAnswerHead(200, other) + body);
      break;
    }
    case StandinAct::kUnframed:
      fields.pop_back();
      fields.push_back({"Connection", "close"});
      stream.Write(FormatAnswerHead(200, fields) + body);
      stream.CloseGracefully();
      return;
    case StandinAct::kEndlessNoise:
      SendEndlessly(connection, "", "noise\r\n");
      return;
    case StandinAct::kEndlessHead:
      SendEndlessly(connection, "HTTP/1.1 200 OK\r\n", "X: y\r\n");
      return;
    case StandinAct::kEndlessInterim:
      SendEndlessly(connection, "", "HTTP/1.1 102 Processing\r\n\r\n");
      return;
    case StandinAct::kEndlessForeign:
      SendEndlessly(connection,
                    "HTTP/1.1 200 OK\r\nRequest-Id: another\r\n"
                    "Server-Seal: seal\r\n\r\n",
                    body);
      return;
    case StandinAct::kEndlessShed:
      SendEndlessly(connection,
                    "HTTP/1.1 503 Full\r\nRequest-Id: " + id +
                        "\r\nNot-Executed: 1\r\n\r\n",
                    body);
      return;
    case StandinAct::kEndlessTrailer:
      fields.back() = {"Transfer-Encoding", "chunked"};
      SendEndlessly(connection,
                    FormatAnswerHead(200, fields) + FormatChunk(body) + "0\r\n",
                    "X: y\r\n");
      return;
    case StandinAct::kEndlessBody:
      fields.pop_back();
      SendEndlessly(connection, FormatAnswerHead(200, fields), body);
      return;
    case StandinAct::kFail:
      stream.Write(FormatAnswerHead(500, fields) + body);
      return;
    case StandinAct::kUnproven:
      stream.Write(FormatAnswerHead(503, fields) + body);
      return;
    default:
      break;
  }
  stream.Write(FormatAnswerHead(200, fields) + body);
}

PlatformStandinCaller::PlatformStandinCaller(Loop& loop, const Address& to)
    : stream_(OrDie(Stream::Connect(loop, to, ""))),
      reader_(NewAnswerReader(kLimits, false)) {
  Stream::Handlers handlers;
  handlers.on_data = [this](std::string_view data) { OnData(data); };
  handlers.on_end = [this](StreamEnd) { closed_ = true; };
  stream_->Start(std::move(handlers));
}

void PlatformStandinCaller::Send(const std::string& text) {
  stream_->Write(text);
}

void PlatformStandinCaller::OnData(std::string_view data) {
  input_ += data;
  while (!input_.empty()) {
    const size_t n = reader_->Read(input_);
    input_.erase(0, n);
    body_ += reader_->TakeBody();
    if (reader_->state() != HttpReadState::kComplete)
      return;
    answers_.push_back({reader_->head(), std::exchange(body_, {})});
    reader_ = NewAnswerReader(kLimits, false);
  }
}

PlatformWorld::PlatformWorld(int network) : network_(network) {
  std::string name =
      (std::filesystem::temp_directory_path() / "platform-XXXXXX").string();
  folder_ = mkdtemp(name.data());
  store_ = std::make_unique<PlatformStandinStore>(loop_, StoreAddress());
}

PlatformWorld::~PlatformWorld() {
  for (const auto& [index, pid] : gateways_) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  // The HTTP library ends only when no request is held.
  store_->EndWatches();
  RunUntil(std::chrono::milliseconds(50), [] { return false; });
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(folder_);
}

Address PlatformWorld::HostAddress(int index, uint16_t port) const {
  return {"127." + std::to_string(network_) + ".1." + std::to_string(index),
          port};
}

Address PlatformWorld::StoreAddress() const {
  return HostAddress(200, kStorePort);
}

std::string PlatformWorld::ZoneOf(int index) const {
  return kStandinZones[static_cast<size_t>(index) % zones_].zone;
}

void PlatformWorld::SetStoreAddress(int index, const Address& address) {
  store_addresses_[index] = address;
}

Address PlatformWorld::CallersOf(int index) const {
  return HostAddress(index, kCallersPort);
}

Address PlatformWorld::DirectoryOf(int index) const {
  return HostAddress(index, kDirectoryPort);
}

Address PlatformWorld::OperatorsOf(int index) const {
  return HostAddress(index, kOperatorsPort);
}

std::string PlatformWorld::SettingsText(int index) const {
  const std::string ip = HostAddress(index, 0).ip;
  const std::string first = HostAddress(1, kOperatorsPort).ToString();
  std::ostringstream os;
  os << "node=host-" << index << "\nip=" << ip << "\nzone=" << ZoneOf(index)
     << "\n";
  for (size_t i = 0; i < zones_; ++i) {
    const StandinZone& it = kStandinZones[i];
    os << "zones." << it.zone << "=" << it.region << "\n";
    if (ZoneOf(index) == it.zone)
      os << "region=" << it.region << "\n";
  }
  const auto store = store_addresses_.find(index);
  os << "listen.front=" << CallersOf(index).ToString()
     << "\nlisten.ready=" << HostAddress(index, kReadinessPort).ToString()
     << "\nlisten.directory=" << DirectoryOf(index).ToString()
     << "\nlisten.control=" << OperatorsOf(index).ToString()
     << "\ninternal-ports=7660,7675\nseeds=" << first
     << "\nbounds=grace-s=3,retry-budget-ratio=0.2,retry-budget-slack=100,"
        "budget-window-s=10,ttl_max_s="
     << directory_ttl_s_ << "\nplatform.address="
     << (store == store_addresses_.end() ? StoreAddress() : store->second)
            .ToString()
     << "\n";
  return os.str();
}

PlatformStandinEndpoint& PlatformWorld::AddEndpoint(
    const std::string& service) {
  const int number = static_cast<int>(endpoints_.size()) + 1;
  endpoints_.push_back(std::make_unique<PlatformStandinEndpoint>(
      loop_, "i-" + std::to_string(number),
      HostAddress(100 + number, kEndpointPort)));
  PlatformStandinEndpoint& endpoint = *endpoints_.back();
  endpoint.set_on_restart(
      [this, &endpoint, service] { Register(endpoint, service); });
  Register(endpoint, service);
  return endpoint;
}

void PlatformWorld::Register(PlatformStandinEndpoint& endpoint,
                             const std::string& service) {
  const auto at =
      std::find_if(endpoints_.begin(), endpoints_.end(),
                   [&](const auto& it) { return it.get() == &endpoint; });
  const auto number = at - endpoints_.begin() + 1;
  store_->Put("servers", "i-" + std::to_string(number),
              endpoint.Record(service, "cuyo-a"));
}

void PlatformWorld::PutConfig(int version, const std::string& extra_prefix) {
  Json paths = Json::array();
  const auto add = [&](const std::string& prefix, const std::string& kind,
                       double target = 0.3, int priority = 0) {
    paths.push_back({{"name", "r" + prefix},
                     {"path-prefix", prefix},
                     {"route-type", kind},
                     {"timeout-s", 2},
                     {"target-latency-s", target},
                     {"priority", priority},
                     {"service", "rondas"},
                     {"max-attempts", 2},
                     {"sticky-session", true},
                     {"home-regions", Json::array()}});
  };
  add("/read/", "idempotent");
  add("/charge/", "non_idempotent");
  add("/upload/", "upload");
  // Long work of a lower rank: the service is divided.
  add("/archive/", "idempotent", 3.0, 2);
  if (!extra_prefix.empty())
    add(extra_prefix, "idempotent");
  store_->Put("config", "main",
              {{"version", "r" + std::to_string(version)},
               {"services", {{{"name", "rondas"}}}},
               {"limits",
                {{"header-bytes", 4096},
                 {"body-bytes", 8 << 20},
                 {"header-timeout-s", 1},
                 {"idle-timeout-s", 15}}},
               {"hosts", {{{"host", "h.example"}, {"paths", paths}}}}});
}

std::string PlatformWorld::SettingsOf(int index) const {
  return folder_ + "/" + std::to_string(index) + ".conf";
}

void PlatformWorld::WriteSettings(int index, const std::string& more) {
  std::ofstream(SettingsOf(index)) << SettingsText(index) << more;
}

Address PlatformWorld::StartGateway(int index) {
  const std::string settings = SettingsOf(index);
  WriteSettings(index, "");
  const std::string log = LogOf(index);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<std::string> words = {SASSAFRASDECK_BINARY, "gateway",
                                    "--settings", settings};
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& it : words)
    argv.push_back(it.data());
  argv.push_back(nullptr);
  pid_t pid = 0;
  posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  gateways_[index] = pid;
  return CallersOf(index);
}

size_t PlatformWorld::MemoryOf(int index) const {
  std::ifstream file("/proc/" + std::to_string(gateways_.at(index)) + "/statm");
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

Duration PlatformWorld::ProcessorTimeOf(int index) const {
  std::ifstream file("/proc/" + std::to_string(gateways_.at(index)) + "/stat");
  std::string text;
  std::getline(file, text);
  // The fields behind the program's name, which may contain blanks.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kFieldsBefore = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBefore; ++i)
    fields >> skipped;
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  return FromSeconds(static_cast<double>(user + system) /
                     static_cast<double>(::sysconf(_SC_CLK_TCK)));
}

std::string PlatformWorld::LogOf(int index) const {
  return folder_ + "/" + std::to_string(index) + ".log";
}

bool PlatformWorld::RunUntil(std::chrono::milliseconds time,
                             const std::function<bool()>& done) {
  bool held = done();
  const auto poll = loop_.Every(kPollPeriod, [&] {
    held = held || done();
    if (held)
      loop_.Stop();
  });
  const auto end = loop_.After(time, [&] { loop_.Stop(); });
  if (!held)
    loop_.Run();
  return held || done();
}

bool PlatformWorld::Eventually(std::chrono::milliseconds time,
                               const std::function<bool()>& done) {
  const Time end = loop_.Now() + time;
  while (!done()) {
    if (loop_.Now() >= end)
      return false;
    RunUntil(std::chrono::milliseconds(20), [] { return false; });
  }
  return true;
}

bool PlatformWorld::WaitReady(int index) {
  // Each attempt takes a fresh connection and one readiness question.
  const std::string question = "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n";
  for (int attempt = 0; attempt < 60; ++attempt) {
    PlatformStandinCaller caller(loop_, HostAddress(index, kReadinessPort));
    caller.Send(question);
    RunUntil(std::chrono::milliseconds(150),
             [&] { return !caller.answers().empty() || caller.is_closed(); });
    if (!caller.answers().empty() && caller.answers()[0].head.status == kHttpOk)
      return true;
    RunUntil(std::chrono::milliseconds(50), [] { return false; });
  }
  return false;
}

void PlatformWorld::Signal(int index, int signal) {
  kill(gateways_.at(index), signal);
}

bool PlatformWorld::WaitEnd(int index, std::chrono::milliseconds time) {
  // The event loop may have collected the process's end already.
  return RunUntil(time, [&] { return HasEnded(index); });
}

bool PlatformWorld::HasEnded(int index) {
  const auto it = gateways_.find(index);
  if (it == gateways_.end())
    return true;
  const pid_t pid = it->second;
  // The event loop may have collected the process's end already.
  if (waitpid(pid, nullptr, WNOHANG) != pid && kill(pid, 0) == 0)
    return false;
  gateways_.erase(it);
  return true;
}

std::string RequestText(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        const std::string& more_fields,
                        const std::string& body) {
  std::string text = method + " " + path +
                     " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: 2000\r\n" + more_fields;
  if (!body.empty())
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace sassafras
