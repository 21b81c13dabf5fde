#include "standins/platform_world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
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
// Prefix of the placeholder that stands for a raw text in an object; Dump()
// replaces it by the text.
const std::string kRawTextPlaceholder = "text:";
constexpr HttpReadLimits kLimits{64 << 10, 256 << 20};
// Of connections with small buffers.
constexpr int kSegmentBytes = 1400;
constexpr int kReceiveBufferBytes = 8 << 10;
// From an early answer to the end of its connection.
constexpr auto kEarlyEndDelay = std::chrono::milliseconds(50);

template <typename T>
T OrDie(Result<T> result) {
  if (!result)
    std::abort();
  return std::move(result.value());
}

// Fields with the empty line that ends them.
std::string FormatFields(const HttpFields& fields) {
  std::string out;
  for (const HttpField& it : fields)
    out += it.name + ": " + it.value + "\r\n";
  return out + "\r\n";
}

// Whether `text` consists of the unreserved characters of RFC 3986.
bool IsUnreserved(const std::string& text) {
  return text.find_first_not_of(
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "abcdefghijklmnopqrstuvwxyz"
             "0123456789-._~") == std::string::npos;
}

bool IsUtf8(const std::string& text) {
  try {
    Json(text).dump();
    return true;
  } catch (const Json::type_error&) {
    return false;
  }
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

Json PlatformStandinStore::ObjectJson(const std::string& name,
                                      const Object& object) const {
  Json metadata = {{"revision", object.revision},
                   {"created", 1},
                   {"finalizers", Json::array()},
                   {"deleting", false}};
  const auto raw = raw_names_.find(name);
  if (nameless_.count(name) == 0)
    metadata["name"] = raw == raw_names_.end() ? name : raw->second;
  return Json{{"metadata", metadata},
              {"specification", object.specification},
              {"status", nullptr}};
}

void PlatformStandinStore::PublishEvent(const std::string& kind,
                                        const std::string& name,
                                        bool deleted) {
  events_.push_back({revision_,
                     kind,
                     {{"deleted", deleted},
                      {"object", ObjectJson(name, kinds_[kind][name])}}});
  if (deleted)
    kinds_[kind].erase(name);
  for (const auto& it :
       std::vector<std::shared_ptr<PendingWatch>>(pending_watches_)) {
    if (!it->drops_events && TryAnswerWatch(*it))
      pending_watches_.erase(
          std::remove(pending_watches_.begin(), pending_watches_.end(), it),
          pending_watches_.end());
  }
}

void PlatformStandinStore::Put(const std::string& kind,
                               const std::string& name,
                               const Json& specification) {
  if (!IsUtf8(name) && raw_names_.count(name) == 0)
    raw_names_[name] = AddRawText('"' + name + '"');
  Object& object = kinds_[kind][name];
  object.revision = ++revision_;
  object.specification = specification;
  if (object.created == 0)
    object.created = revision_;
  PublishEvent(kind, name, false);
}

void PlatformStandinStore::PutRawText(const std::string& kind,
                                      const std::string& name,
                                      const std::string& text) {
  Put(kind, name, AddRawText(text));
}

void PlatformStandinStore::PutNameless(const std::string& kind,
                                       const std::string& name,
                                       const Json& specification) {
  nameless_.insert(name);
  Put(kind, name, specification);
}

// Returns a string that Dump() replaces by `text`.
std::string PlatformStandinStore::AddRawText(const std::string& text) {
  raw_texts_.push_back(text);
  return kRawTextPlaceholder + std::to_string(raw_texts_.size() - 1);
}

std::string PlatformStandinStore::Dump(const Json& body) const {
  std::string out = body.dump();
  for (size_t i = 0; i < raw_texts_.size(); ++i) {
    const std::string mark =
        '"' + (kRawTextPlaceholder + std::to_string(i)) + '"';
    for (size_t position = out.find(mark); position != std::string::npos;
         position = out.find(mark, position + raw_texts_[i].size()))
      out.replace(position, mark.size(), raw_texts_[i]);
  }
  return out;
}

void PlatformStandinStore::Delete(const std::string& kind,
                                  const std::string& name) {
  ++revision_;
  PublishEvent(kind, name, true);
}

void PlatformStandinStore::set_stale_lists(bool stale) {
  if (!stale)
    stale_.reset();
  else if (!stale_)
    stale_ = Snapshot{kinds_, revision_, era_};
}

void PlatformStandinStore::TakeCopy() {
  copy_ = Snapshot{kinds_, revision_, era_};
}

void PlatformStandinStore::ComeBackFromCopy() {
  lost_ = Snapshot{std::move(kinds_), revision_, era_};
  kinds_ = copy_->kinds;
  revision_ = copy_->revision;
  ++era_;
  DropHistory();
  EndWatches();
}

void PlatformStandinStore::WriteLostAgain() {
  for (const char* kind : {"config", "servers", "evacuations"}) {
    const auto copied = kinds_[kind];
    for (const auto& [name, object] : lost_.kinds[kind]) {
      const auto it = copied.find(name);
      if (it == copied.end() ||
          it->second.specification != object.specification)
        Put(kind, name, object.specification);
    }
    for (const auto& [name, object] : copied) {
      if (lost_.kinds[kind].count(name) == 0)
        Delete(kind, name);
    }
  }
}

HttpHeaders PlatformStandinStore::Fields() const {
  if (era_ == 0)
    return {};
  return {{"Store-Era", std::to_string(era_)}};
}

void PlatformStandinStore::DropWatchEvents() {
  for (const auto& it : pending_watches_)
    it->drops_events = true;
}

size_t PlatformStandinStore::SilenceWatches() {
  const auto silenced = std::exchange(pending_watches_, {});
  for (const auto& it : silenced) {
    it->session->set_on_disconnect(nullptr);
    unanswered_.push_back(it->session);
  }
  return silenced.size();
}

void PlatformStandinStore::DropHistory() {
  events_.clear();
  history_from_ = revision_ + 1;
}

void PlatformStandinStore::EndWatches() {
  for (const auto& it : std::exchange(pending_watches_, {})) {
    it->session->set_on_disconnect(nullptr);
    it->session->Respond(kHttpServiceUnavailable, Fields(), "");
  }
}

bool PlatformStandinStore::ExceedsRate(const Session& session) {
  if (max_reads_per_second_ == 0 || session->method() != "GET" ||
      session->Argument("stale-ok") == "1")
    return false;
  const Time now = loop_.Now();
  while (!reads_.empty() && now - reads_.front() >= std::chrono::seconds(1))
    reads_.pop_front();
  if (reads_.size() >= max_reads_per_second_)
    return true;
  reads_.push_back(now);
  return false;
}

void PlatformStandinStore::Answer(const Session& session) {
  ++calls_;
  if (ExceedsRate(session)) {
    session->Respond(kHttpTooManyRequests, Fields(), "");
    return;
  }
  if (down_) {
    session->Respond(down_status_, Fields(), "");
    return;
  }
  const std::string prefix = "/objects/";
  std::string kind = session->path().substr(prefix.size());
  std::string name;
  const size_t slash = kind.find('/');
  if (slash != std::string::npos) {
    name = kind.substr(slash + 1);
    kind.resize(slash);
  }
  if (session->method() != "GET")
    AnswerWrite(session, kind);
  else if (session->Argument("watch"))
    AnswerWatch(session, kind);
  else if (!name.empty())
    AnswerObject(session, kind, name);
  else if (!RefuseName(session, kind))
    AnswerList(session, kind);
}

void PlatformStandinStore::AnswerWrite(const Session& session,
                                       const std::string& kind) {
  session->ReadBody(1 << 20, [this, session, kind](auto body) {
    const Json json = Json::parse(*body);
    const std::string name = json["metadata"]["name"];
    if (session->method() == "POST" && kinds_[kind].count(name) > 0) {
      session->Respond(kHttpConflict, Fields(),
                       ObjectJson(name, kinds_[kind][name]).dump());
      return;
    }
    Put(kind, name, json["specification"]);
    session->Respond(kHttpOk, Fields(),
                     ObjectJson(name, kinds_[kind][name]).dump());
  });
}

void PlatformStandinStore::AnswerObject(const Session& session,
                                        const std::string& kind,
                                        const std::string& name) {
  const auto it = kinds_[kind].find(name);
  if (it == kinds_[kind].end())
    session->Respond(kHttpNotFound, Fields(), "{}");
  else
    session->Respond(kHttpOk, Fields(), Dump(ObjectJson(name, it->second)));
}

void PlatformStandinStore::set_list_rules(const StandinListRules& rules) {
  list_rules_ = rules;
  page_ends_.clear();
}

void PlatformStandinStore::Refuse(const Session& session,
                                  StandinUnknownName how) {
  if (how == StandinUnknownName::kUnanswered)
    unanswered_.push_back(session);
  else if (how == StandinUnknownName::kUnavailable)
    session->Respond(kHttpServiceUnavailable, Fields(), "");
  else
    session->Respond(kHttpBadRequest, Fields(), "");
}

bool PlatformStandinStore::RefuseName(const Session& session,
                                      const std::string& kind) {
  const std::string after = session->Argument("after").value_or("");
  if (after.empty())
    return false;
  const StandinNameReading reading = list_rules_.name_reading;
  if (!IsUnreserved(after) && (reading == StandinNameReading::kRefused ||
                               reading == StandinNameReading::kUnavailable ||
                               reading == StandinNameReading::kUnanswered)) {
    Refuse(session, reading == StandinNameReading::kRefused
                        ? StandinUnknownName::kRefused
                    : reading == StandinNameReading::kUnavailable
                        ? StandinUnknownName::kUnavailable
                        : StandinUnknownName::kUnanswered);
    return true;
  }
  const std::string name = NameAfter(session);
  const StandinUnknownName unknown = list_rules_.unknown_name;
  if (kinds_[kind].count(name) == 0 &&
      (unknown == StandinUnknownName::kRefused ||
       unknown == StandinUnknownName::kUnavailable ||
       unknown == StandinUnknownName::kUnanswered)) {
    Refuse(session, unknown);
    return true;
  }
  if (!list_rules_.continues_only_after_pages ||
      page_ends_.count(kind + "/" + name) > 0)
    return false;
  Refuse(session, StandinUnknownName::kRefused);
  return true;
}

std::string PlatformStandinStore::SortKey(const Objects& objects,
                                          const std::string& name) const {
  std::string key;
  switch (list_rules_.order) {
    case StandinOrder::kByBytes:
      break;
    case StandinOrder::kDescending:
      for (const char c : name)
        key += static_cast<char>(~c);
      return key + '\xff';
    case StandinOrder::kIgnoringCase:
      for (const char c : name)
        key += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
      break;
    case StandinOrder::kIgnoringPunctuation:
      for (const char c : name) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0)
          key += c;
      }
      break;
    case StandinOrder::kByHash:
      key = std::to_string(std::hash<std::string>()(name));
      break;
    case StandinOrder::kByCreation: {
      const auto it = objects.find(name);
      std::ostringstream os;
      os << std::setw(20) << (it == objects.end() ? 0 : it->second.created);
      return os.str();
    }
  }
  return key + '\0' + name;
}

std::string PlatformStandinStore::NameAfter(const Session& session) const {
  std::string after = session->Argument("after").value_or("");
  if (list_rules_.name_reading == StandinNameReading::kDecodedBeforeSplit)
    return after.substr(0, after.find('&'));
  if (list_rules_.name_reading != StandinNameReading::kNotDecoded ||
      after.empty())
    return after;
  const std::string argument = "after=";
  const std::string& target = session->target();
  after = target.substr(target.find(argument) + argument.size());
  return after.substr(0, after.find('&'));
}

void PlatformStandinStore::AnswerList(const Session& session,
                                      const std::string& kind) {
  if (later_pages_fail_ && session->Argument("after")) {
    session->Respond(kHttpServiceUnavailable, Fields(), "");
    return;
  }
  const bool is_stale = stale_ && session->Argument("stale-ok") == "1";
  const Objects& objects = is_stale ? stale_->kinds[kind] : kinds_[kind];
  std::map<std::string, Objects::const_iterator> ordered;
  for (auto it = objects.begin(); it != objects.end(); ++it)
    ordered[SortKey(objects, it->first)] = it;
  const std::string after = NameAfter(session);
  const bool is_unknown = !after.empty() && objects.count(after) == 0;
  auto next = ordered.begin();
  if (is_unknown &&
      (list_rules_.unknown_name == StandinUnknownName::kEndsList ||
       list_rules_.name_reading == StandinNameReading::kEndsAfterUnknown))
    next = ordered.end();
  else if (!after.empty() &&
           !(is_unknown &&
             list_rules_.unknown_name == StandinUnknownName::kRestartsList))
    next = ordered.upper_bound(SortKey(objects, after));
  Json items = Json::array();
  size_t bytes = 0;
  for (; next != ordered.end() && items.size() < list_rules_.page_size;
       ++next) {
    Json item = ObjectJson(next->second->first, next->second->second);
    bytes += Dump(item).size();
    if (!items.empty() && bytes > list_rules_.page_bytes)
      break;
    items.push_back(std::move(item));
  }
  const bool has_more = next != ordered.end();
  if (!items.empty())
    page_ends_.insert(kind + "/" + std::prev(next)->second->first);
  const uint64_t as_of =
      is_stale && !stale_names_present_revision_ ? stale_->revision : revision_;
  HttpHeaders fields = Fields();
  if (is_stale && stale_->era < era_)
    fields = {{"Store-Era", std::to_string(stale_->era)}};
  session->Respond(kHttpOk, fields,
                   R"({"items":)" + Dump(items) + R"(,"has-more":)" +
                       (has_more ? "true" : "false") + R"(,"as-of":)" +
                       std::to_string(as_of) + "}");
}

bool PlatformStandinStore::TryAnswerWatch(PendingWatch& watch) {
  Json events = Json::array();
  for (const Event& it : events_) {
    if (it.kind == watch.kind && it.revision > watch.from_revision)
      events.push_back(it.body);
  }
  if (events.empty())
    return false;
  watch.session->set_on_disconnect(nullptr);
  watch.session->Respond(kHttpOk, Fields(),
                         R"({"events":)" + Dump(events) + R"(,"as-of":)" +
                             std::to_string(revision_) + "}");
  return true;
}

void PlatformStandinStore::AnswerWatch(const Session& session,
                                       const std::string& kind) {
  auto watch = std::make_shared<PendingWatch>();
  watch->kind = kind;
  watch->from_revision = std::stoull(*session->Argument("watch"));
  watch->session = session;
  if (watch->from_revision + 1 < history_from_ ||
      watch->from_revision > revision_) {
    session->Respond(kHttpGone, Fields(), "{}");
    return;
  }
  if (TryAnswerWatch(*watch))
    return;
  pending_watches_.push_back(watch);
  // A weak pointer, since the watch may have been destroyed by then and another
  // one allocated at the same address.
  const auto remove_watch = [this, weak = std::weak_ptr<PendingWatch>(watch)] {
    pending_watches_.erase(std::remove(pending_watches_.begin(),
                                       pending_watches_.end(), weak.lock()),
                           pending_watches_.end());
  };
  session->set_on_disconnect(
      [this, remove_watch] { loop_.Post(remove_watch); });
  const auto wait =
      std::chrono::milliseconds(std::stoll(*session->Argument("wait-ms")));
  watch->timer =
      loop_.After(wait, [this, raw_watch = watch.get(), remove_watch] {
        // A watch whose events were dropped reports the revision it started at.
        const uint64_t as_of =
            raw_watch->drops_events ? raw_watch->from_revision : revision_;
        raw_watch->session->set_on_disconnect(nullptr);
        raw_watch->session->Respond(
            kHttpOk, Fields(),
            Json{{"events", Json::array()}, {"as-of", as_of}}.dump());
        loop_.Post(remove_watch);
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
  accept_watch_ = loop_.OnSocket(listener_.fd(), Ready::kRead,
                                 [this](bool, bool) { Accept(); });
}

void PlatformStandinEndpoint::UseSmallSocketBuffers() {
  // Accepted connections inherit these.
  setsockopt(listener_.fd(), IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
             sizeof(kSegmentBytes));
  setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
}

void PlatformStandinEndpoint::Restart() {
  ++crashes_;
  is_leaving_ = false;
  on_restart_();
}

void PlatformStandinEndpoint::AddNotices(HttpFields& fields) const {
  if (is_leaving_)
    fields.push_back({"Server-Leaving", "1"});
}

size_t PlatformStandinEndpoint::CountRunning() const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& it) { return it->answer_timer != nullptr; }));
}

void PlatformStandinEndpoint::Crash() {
  ++crashes_;
  is_leaving_ = false;
  accept_watch_.reset();
  listener_ = Socket();
  if (crash_ == StandinCrash::kClosesConnections) {
    CloseConnections();
  } else {
    for (const auto& it : connections_) {
      it->answer_timer.reset();
      it->endless_timer.reset();
      it->stream->SetReading(false);
    }
  }
  if (crash_ == StandinCrash::kSilentForGood) {
    for (auto& it : std::exchange(connections_, {}))
      silent_connections_.push_back(std::move(it));
  }
  restart_timer_ =
      loop_.After(crash_ == StandinCrash::kSilent ? kStandinSilentRestartDelay
                                                  : kStandinRestartDelay,
                  [this] {
                    CloseConnections();
                    StartListening();
                    if (on_restart_)
                      on_restart_();
                  });
}

void PlatformStandinEndpoint::CloseConnections() {
  for (const auto& it : std::exchange(connections_, {})) {
    it->answer_timer.reset();
    it->endless_timer.reset();
    it->stream->Close();
  }
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
    if (connection->answer_timer)
      ++cancelled_;
    connection->answer_timer.reset();
    connection->endless_timer.reset();
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
    HandleRequest(connection);
  else if (connection->reader->state() == HttpReadState::kBody &&
           (behavior_ == StandinBehavior::kEarlyRawAnswerAndReset ||
            behavior_ == StandinBehavior::kEarlyRawAnswerAndClose))
    SendEarlyAnswer(connection);
}

void PlatformStandinEndpoint::SendEarlyAnswer(
    const std::shared_ptr<Connection>& connection) {
  const HttpHead& head = connection->reader->head();
  const std::string* id = FindField(head.fields, "Request-Id");
  const std::string request_id = id ? *id : "";
  runs_.push_back({request_id, head, "", loop_.Now()});
  connection->stream->SetReading(false);
  connection->stream->Write(raw_answer_(request_id));
  const bool resets = behavior_ == StandinBehavior::kEarlyRawAnswerAndReset;
  connection->answer_timer = loop_.After(kEarlyEndDelay, [connection, resets] {
    connection->answer_timer.reset();
    if (resets)
      connection->stream->Close();
    else
      connection->stream->CloseGracefully();
  });
}

void PlatformStandinEndpoint::HandleRequest(
    const std::shared_ptr<Connection>& connection) {
  const HttpHead head = connection->reader->head();
  const std::string* id = FindField(head.fields, "Request-Id");
  const std::string request_id = id ? *id : "";
  arrivals_.push_back({request_id, head.target, loop_.Now()});
  const std::string* target_id = FindField(head.fields, "Target-Instance");
  const std::string body = std::exchange(connection->body, {});
  connection->reader = NewRequestReader(kLimits);
  const bool is_misdirected = behavior_ == StandinBehavior::kMisdirected ||
                              (target_id && *target_id != id_);
  const bool is_full = max_running_ > 0 && CountRunning() >= max_running_;
  const bool is_shed = is_full || behavior_ == StandinBehavior::kShed ||
                       behavior_ == StandinBehavior::kShedTooMany;
  if (is_misdirected || is_shed) {
    // Refuses only after the work time, as if the request had been queued, or
    // at once if it is full.
    const int status = is_misdirected                               ? 421
                       : behavior_ == StandinBehavior::kShedTooMany ? 429
                                                                    : 503;
    connection->answer_timer =
        loop_.After(is_full ? Duration(0) : work_time_,
                    [this, connection, request_id, status] {
                      connection->answer_timer.reset();
                      SendRefusal(connection, request_id, status);
                    });
    return;
  }
  runs_.push_back({request_id, head, body, loop_.Now()});
  if (crash_rule_ && crash_rule_(head, body)) {
    // Deferred, since the handler of the connection, which Crash() closes, is
    // running.
    loop_.Post([this] { Crash(); });
    return;
  }
  if (behavior_ == StandinBehavior::kShedWithoutRequestId) {
    connection->stream->Write(FormatAnswerHead(
        503, {{"Not-Executed", "1"}, {"Content-Length", "0"}}));
  } else if (behavior_ == StandinBehavior::kRepeatLastRefusal) {
    connection->stream->Write(connection->last_refusal);
  }
  connection->answer_timer =
      loop_.After(work_time_, [this, connection, request_id] {
        connection->answer_timer.reset();
        SendAnswer(connection, request_id);
      });
}

void PlatformStandinEndpoint::SendRefusal(
    const std::shared_ptr<Connection>& connection,
    const std::string& request_id,
    int status) {
  HttpFields fields = {{"Request-Id", request_id}, {"Content-Length", "0"}};
  if (status != 421) {
    refusals_.push_back({request_id, retry_after_, loop_.Now()});
    fields.push_back({"Not-Executed", "1"});
    if (!retry_after_.empty())
      fields.push_back({"Retry-After", retry_after_});
    AddNotices(fields);
  }
  connection->last_refusal = FormatAnswerHead(status, fields);
  connection->stream->Write(connection->last_refusal);
}

bool PlatformStandinEndpoint::is_sending_endlessly() const {
  return std::any_of(
      connections_.begin(), connections_.end(),
      [](const auto& it) { return it->endless_timer != nullptr; });
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
  connection->endless_timer =
      loop_.Every(std::chrono::milliseconds(1), [connection, block] {
        if (connection->stream->pending() == 0)
          connection->stream->Write(block);
      });
}

void PlatformStandinEndpoint::SendAnswer(
    const std::shared_ptr<Connection>& connection,
    const std::string& id) {
  if (is_leaving_)
    said_leaving_.insert(id);
  Stream& stream = *connection->stream;
  std::string body = "answer to " + id;
  body.resize(std::max(body.size(), answer_bytes_), '.');
  HttpFields fields = {{"Request-Id", id},
                       {"Server-Seal", "seal-" + id},
                       {"Server-Load", "1,0,4"},
                       {"Keep-Alive", "timeout=10"},
                       {"Content-Length", std::to_string(body.size())}};
  // Before the field that some behaviors take off or replace.
  const HttpField length = fields.back();
  fields.pop_back();
  if (uses_trailer_ && behavior_ == StandinBehavior::kAnswer) {
    HttpFields trailer;
    AddNotices(trailer);
    fields.push_back({"Transfer-Encoding", "chunked"});
    stream.Write(FormatAnswerHead(200, fields) + FormatChunk(body) + "0\r\n" +
                 FormatFields(trailer));
    return;
  }
  AddNotices(fields);
  fields.push_back(length);
  switch (behavior_) {
    case StandinBehavior::kCloseWithoutAnswer:
      stream.Close();
      return;
    case StandinBehavior::kTruncatedBody:
      stream.Write(FormatAnswerHead(200, fields) +
                   body.substr(0, body.size() / 2));
      stream.CloseGracefully();
      return;
    case StandinBehavior::kTruncatedHead:
    case StandinBehavior::kTruncatedChunkedHead: {
      if (behavior_ == StandinBehavior::kTruncatedChunkedHead)
        fields.back() = {"Transfer-Encoding", "chunked"};
      const std::string head = FormatAnswerHead(200, fields);
      head_size_ = head.size();
      stream.Write(head.substr(0, head_bytes_sent_));
      stream.CloseGracefully();
      return;
    }
    case StandinBehavior::kUnsigned:
      fields.erase(fields.begin() + 1);
      break;
    case StandinBehavior::kForeignAnswerFirst: {
      HttpFields other = fields;
      other[0].value = "another";
      other[1].value = "seal-another";
      stream.Write(FormatAnswerHead(200, other) + body);
      break;
    }
    case StandinBehavior::kUnframed:
      fields.pop_back();
      fields.push_back({"Connection", "close"});
      stream.Write(FormatAnswerHead(200, fields) + body);
      stream.CloseGracefully();
      return;
    case StandinBehavior::kRawAnswer:
      stream.Write(raw_answer_(id));
      return;
    case StandinBehavior::kEndlessGarbage:
      SendEndlessly(connection, "", "noise\r\n");
      return;
    case StandinBehavior::kEndlessHead:
      SendEndlessly(connection, "HTTP/1.1 200 OK\r\n", "X: y\r\n");
      return;
    case StandinBehavior::kEndlessHeadLine:
      SendEndlessly(connection, "HTTP/1.1 200 OK\r\nX: ", "y");
      return;
    case StandinBehavior::kEndlessEmptyLines:
      SendEndlessly(connection, "", "\r\n");
      return;
    case StandinBehavior::kEndlessChunkSize:
      fields.back() = {"Transfer-Encoding", "chunked"};
      SendEndlessly(connection, FormatAnswerHead(200, fields), "0");
      return;
    case StandinBehavior::kEndlessInterim:
      SendEndlessly(connection, "", "HTTP/1.1 102 Processing\r\n\r\n");
      return;
    case StandinBehavior::kEndlessForeignAnswer:
      SendEndlessly(connection,
                    "HTTP/1.1 200 OK\r\nRequest-Id: another\r\n"
                    "Server-Seal: seal\r\n\r\n",
                    body);
      return;
    case StandinBehavior::kEndlessShed:
      SendEndlessly(connection,
                    "HTTP/1.1 503 Full\r\nRequest-Id: " + id +
                        "\r\nNot-Executed: 1\r\n\r\n",
                    body);
      return;
    case StandinBehavior::kEndlessTrailer:
      fields.back() = {"Transfer-Encoding", "chunked"};
      SendEndlessly(connection,
                    FormatAnswerHead(200, fields) + FormatChunk(body) + "0\r\n",
                    "X: y\r\n");
      return;
    case StandinBehavior::kEndlessBody:
      fields.pop_back();
      SendEndlessly(connection, FormatAnswerHead(200, fields), body);
      return;
    case StandinBehavior::kServerError:
      stream.Write(FormatAnswerHead(500, fields) + body);
      return;
    case StandinBehavior::kTimeout:
      stream.Write(FormatAnswerHead(504, fields) + body);
      return;
    case StandinBehavior::kNotFound:
      stream.Write(FormatAnswerHead(404, fields) + body);
      return;
    case StandinBehavior::kUnprovenRefusal:
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
  // The HTTP library can shut down only when no request is pending.
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
  return kStandinZones[static_cast<size_t>(index) % zone_count_].zone;
}

void PlatformWorld::SetStoreAddress(int index, const Address& address) {
  store_addresses_[index] = address;
}

Address PlatformWorld::CallerAddressOf(int index) const {
  return HostAddress(index, kCallersPort);
}

Address PlatformWorld::DirectoryAddressOf(int index) const {
  return HostAddress(index, kDirectoryPort);
}

Address PlatformWorld::OperatorAddressOf(int index) const {
  return HostAddress(index, kOperatorsPort);
}

std::string PlatformWorld::SettingsText(int index) const {
  const std::string ip = HostAddress(index, 0).ip;
  const std::string first = HostAddress(1, kOperatorsPort).ToString();
  std::ostringstream os;
  os << "node=host-" << index << "\nip=" << ip << "\nzone=" << ZoneOf(index)
     << "\n";
  for (size_t i = 0; i < zone_count_; ++i) {
    const StandinZone& it = kStandinZones[i];
    os << "zones." << it.zone << "=" << it.region << "\n";
    if (ZoneOf(index) == it.zone)
      os << "region=" << it.region << "\n";
  }
  const auto store = store_addresses_.find(index);
  os << "listen.front=" << CallerAddressOf(index).ToString()
     << "\nlisten.ready=" << HostAddress(index, kReadinessPort).ToString()
     << "\nlisten.directory=" << DirectoryAddressOf(index).ToString()
     << "\nlisten.control=" << OperatorAddressOf(index).ToString()
     << "\ninternal-ports=7660,7675\nseeds=" << first
     << "\nbounds=grace-s=3,retry-budget-ratio=0.2,retry-budget-slack=100,"
        "budget-window-s=10,ttl_max_s="
     << directory_ttl_s_ << "\nplatform.address="
     << (store == store_addresses_.end() ? StoreAddress() : store->second)
            .ToString()
     << "\n"
     << more_settings_;
  return os.str();
}

PlatformStandinEndpoint& PlatformWorld::AddEndpoint(const std::string& service,
                                                    const std::string& zone) {
  const int number = static_cast<int>(endpoints_.size()) + 1;
  endpoints_.push_back(std::make_unique<PlatformStandinEndpoint>(
      loop_, "i-" + std::to_string(number),
      HostAddress(100 + number, kEndpointPort)));
  PlatformStandinEndpoint& endpoint = *endpoints_.back();
  endpoint.set_zone(zone);
  endpoint.set_on_restart(
      [this, &endpoint, service] { Register(endpoint, service); });
  Register(endpoint, service);
  return endpoint;
}

void PlatformWorld::Register(PlatformStandinEndpoint& endpoint,
                             const std::string& service) {
  const auto position =
      std::find_if(endpoints_.begin(), endpoints_.end(),
                   [&](const auto& it) { return it.get() == &endpoint; });
  const auto number = position - endpoints_.begin() + 1;
  store_->Put("servers", "i-" + std::to_string(number),
              endpoint.Record(service, endpoint.zone()));
}

void PlatformWorld::PutConfig(int version, const std::string& extra_prefix) {
  store_->Put("config", "main", ConfigJson(version, extra_prefix));
}

Json PlatformWorld::ConfigJson(int version,
                               const std::string& extra_prefix) const {
  Json paths = Json::array();
  const auto add = [&](const std::string& prefix, const std::string& kind,
                       double target = 0.3, int priority = 0) {
    const auto homes = homes_.find(prefix);
    paths.push_back(
        {{"name", "r" + prefix},
         {"path-prefix", prefix},
         {"route-type", kind},
         {"timeout-s", 2},
         {"target-latency-s", target},
         {"priority", priority},
         {"service", "rondas"},
         {"max-attempts", 2},
         {"sticky-session", true},
         {"home-regions",
          homes == homes_.end() ? std::vector<std::string>() : homes->second}});
  };
  add("/read/", "idempotent");
  add("/charge/", "non_idempotent");
  add("/upload/", "upload");
  add("/download/", "download");
  // Requests with a longer target latency and a lower priority, which the
  // gateway treats as long work of the service.
  add("/archive/", "idempotent", 3.0, 2);
  if (!extra_prefix.empty())
    add(extra_prefix, "idempotent");
  const Json standard = paths;
  for (const auto& it : homes_) {
    const std::string& prefix = it.first;
    const bool is_listed = std::any_of(
        standard.begin(), standard.end(),
        [&](const Json& path) { return path["path-prefix"] == prefix; });
    if (!is_listed)
      add(prefix,
          prefix.rfind("/charge/", 0) == 0 ? "non_idempotent" : "idempotent");
  }
  return {{"version", "r" + std::to_string(version)},
          {"services", {{{"name", "rondas"}}}},
          {"limits",
           {{"header-bytes", 4096},
            {"body-bytes", 8 << 20},
            {"header-timeout-s", 1},
            {"idle-timeout-s", 15}}},
          {"hosts", {{{"host", "h.example"}, {"paths", paths}}}}};
}

std::string PlatformWorld::SettingsPathOf(int index) const {
  return folder_ + "/" + std::to_string(index) + ".conf";
}

void PlatformWorld::WriteSettings(int index, const std::string& more) {
  std::ofstream(SettingsPathOf(index)) << SettingsText(index) << more;
}

Address PlatformWorld::StartGateway(int index) {
  const std::string settings = SettingsPathOf(index);
  WriteSettings(index, "");
  const std::string log = LogPathOf(index);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // GATEWAY_BINARY: a gateway of another revision, for runs by hand.
  const char* binary = std::getenv("GATEWAY_BINARY");
  std::vector<std::string> args = {binary ? binary : SASSAFRASDECK_BINARY,
                                   "gateway", "--settings", settings};
  std::vector<char*> argv;
  argv.reserve(args.size() + 1);
  for (std::string& it : args)
    argv.push_back(it.data());
  argv.push_back(nullptr);
  pid_t pid = 0;
  posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  gateways_[index] = pid;
  return CallerAddressOf(index);
}

size_t PlatformWorld::ResidentMemoryOf(int index) const {
  std::ifstream file("/proc/" + std::to_string(gateways_.at(index)) + "/statm");
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

size_t PlatformWorld::PeakMemoryOf(int index) const {
  std::ifstream file("/proc/" + std::to_string(gateways_.at(index)) +
                     "/status");
  const std::string key = "VmHWM:";
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(key, 0) == 0)
      return std::stoull(line.substr(key.size())) << 10;
  }
  return 0;
}

size_t PlatformWorld::UnreadBytesOf(int index) const {
  const Address address = CallerAddressOf(index);
  in_addr ip{};
  inet_pton(AF_INET, address.ip.c_str(), &ip);
  std::ostringstream local;
  local << std::hex << std::uppercase << std::setfill('0') << std::setw(8)
        << ip.s_addr << ':' << std::setw(4) << address.port;
  constexpr const char* kEstablished = "01";
  std::ifstream file("/proc/net/tcp");
  size_t total = 0;
  for (std::string line; std::getline(file, line);) {
    std::istringstream fields(line);
    std::string number;
    std::string from;
    std::string to;
    std::string state;
    std::string queues;  // Unsent and unread bytes.
    fields >> number >> from >> to >> state >> queues;
    if (from == local.str() && state == kEstablished)
      total += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return total;
}

size_t PlatformWorld::OpenSocketsOf(int index) const {
  const std::filesystem::path folder =
      "/proc/" + std::to_string(gateways_.at(index)) + "/fd";
  std::error_code ec;
  size_t n = 0;
  for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
    const std::string target =
        std::filesystem::read_symlink(it.path(), ec).string();
    if (target.rfind("socket:", 0) == 0 || target.rfind("pipe:", 0) == 0)
      ++n;
  }
  return n;
}

void PlatformWorld::SetDescriptorLimit(int index, size_t n) {
  const rlimit limit{n, n};
  prlimit(gateways_.at(index), RLIMIT_NOFILE, &limit, nullptr);
}

Duration PlatformWorld::CpuTimeOf(int index) const {
  std::ifstream file("/proc/" + std::to_string(gateways_.at(index)) + "/stat");
  std::string text;
  std::getline(file, text);
  // The fields after the program's name, which may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kSkippedFields = 11;
  std::string skipped;
  for (int i = 0; i < kSkippedFields; ++i)
    fields >> skipped;
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  return FromSeconds(static_cast<double>(user + system) /
                     static_cast<double>(::sysconf(_SC_CLK_TCK)));
}

std::string PlatformWorld::LogPathOf(int index) const {
  return folder_ + "/" + std::to_string(index) + ".log";
}

bool PlatformWorld::RunUntil(std::chrono::milliseconds time,
                             const std::function<bool()>& done) {
  bool is_done = done();
  const auto poll = loop_.Every(kPollPeriod, [&] {
    is_done = is_done || done();
    if (is_done)
      loop_.Stop();
  });
  const auto end = loop_.After(time, [&] { loop_.Stop(); });
  if (!is_done)
    loop_.Run();
  return is_done || done();
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
  // Each attempt opens a new connection and sends one readiness request.
  const std::string request = "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n";
  for (int attempt = 0; attempt < 60; ++attempt) {
    PlatformStandinCaller caller(loop_, HostAddress(index, kReadinessPort));
    caller.Send(request);
    RunUntil(std::chrono::milliseconds(150),
             [&] { return !caller.answers().empty() || caller.is_closed(); });
    if (!caller.answers().empty() && caller.answers()[0].head.status == kHttpOk)
      return true;
    RunUntil(std::chrono::milliseconds(50), [] { return false; });
  }
  PrintHost(index);
  return false;
}

// The log is gone once the world is.
void PlatformWorld::PrintHost(int index) const {
  const auto it = gateways_.find(index);
  const std::string process =
      it == gateways_.end() ? "" : "/proc/" + std::to_string(it->second);
  std::cerr << "Host " << index << " is not ready.\n";
  for (const char* file : {"/status", "/stat", "/schedstat", "/wchan"})
    std::cerr << file << ": " << std::ifstream(process + file).rdbuf() << '\n';
  std::cerr << "log: " << std::ifstream(LogPathOf(index)).rdbuf() << '\n';
}

void PlatformWorld::Signal(int index, int signal) {
  kill(gateways_.at(index), signal);
}

bool PlatformWorld::WaitEnd(int index, std::chrono::milliseconds time) {
  return RunUntil(time, [&] { return HasExited(index); });
}

bool PlatformWorld::HasExited(int index) {
  const auto it = gateways_.find(index);
  if (it == gateways_.end())
    return true;
  const pid_t pid = it->second;
  // The event loop may have reaped the process already, so that waitpid()
  // fails.
  int status = 0;
  const bool is_reaped = waitpid(pid, &status, WNOHANG) == pid;
  if (!is_reaped && kill(pid, 0) == 0)
    return false;
  last_exit_ = !is_reaped ? "unknown"
               : WIFSIGNALED(status)
                   ? "signal " + std::to_string(WTERMSIG(status))
                   : "code " + std::to_string(WEXITSTATUS(status));
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
