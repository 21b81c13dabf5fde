#include "standins/standin_store.h"

#include <algorithm>
#include <list>
#include <map>
#include <nlohmann/json.hpp>

#include "base/http_server.h"

namespace sassafras {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxValueBytes = 1 << 20;
constexpr std::string_view kPrefix = "/v1/objects/";

struct Faults {
  bool refuse = false;
  bool hang = false;
  int delay_ms = 0;
  int lose_writes = 0;
  int calls_per_second = 0;
};

struct Watcher {
  std::string kind;
  std::shared_ptr<BytePipe> pipe;
  std::unique_ptr<Watch> end;
};

struct Event {
  uint64_t revision = 0;
  std::string kind;
  std::string line;
};

class StoreImpl : public StandinStore {
 public:
  explicit StoreImpl(Loop& loop) : loop_(loop) {}

  Result<void> Start(const Address& listen) {
    HttpServerConfig config;
    config.listen = listen;
    config.max_connections = 4000;
    BOOST_LEAF_ASSIGN(
        server_, StartHttpServer(loop_, config,
                                 [this](auto session) { Handle(session); }));
    return {};
  }

 private:
  using Session = std::shared_ptr<HttpSession>;

  void Handle(const Session& session) {
    if (session->path() == "/control") {
      Control(session);
      return;
    }
    if (session->path().compare(0, kPrefix.size(), kPrefix) != 0) {
      session->Respond(404, {}, "");
      return;
    }
    if (faults_.hang)
      return;
    if (faults_.refuse || IsOverRate()) {
      session->Respond(faults_.refuse ? 503 : 429, {}, "");
      return;
    }
    if (faults_.delay_ms == 0) {
      Serve(session);
      return;
    }
    auto timer = std::make_shared<std::unique_ptr<Watch>>();
    *timer = loop_.After(std::chrono::milliseconds(faults_.delay_ms),
                         [this, session, timer] {
                           Serve(session);
                           loop_.Post([timer] { timer->reset(); });
                         });
  }

  bool IsOverRate() {
    const Time now = loop_.Now();
    if (now - window_ >= std::chrono::seconds(1)) {
      window_ = now;
      in_window_ = 0;
    }
    ++in_window_;
    return faults_.calls_per_second > 0 &&
           in_window_ > faults_.calls_per_second;
  }

  void Serve(const Session& session) {
    const std::string rest = session->path().substr(kPrefix.size());
    const size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    if (slash == std::string::npos) {
      if (session->Argument("watch"))
        ServeWatch(session, kind);
      else
        ServeList(session, kind);
      return;
    }
    const std::string name = rest.substr(slash + 1);
    if (session->method() == "PUT") {
      session->ReadBody(kMaxValueBytes, [this, session, kind, name](auto body) {
        if (body)
          ServePut(session, kind, name, *body);
        else
          session->Respond(413, {}, "");
      });
      return;
    }
    ++calls_["get"];
    const auto it = objects_.find({kind, name});
    if (it == objects_.end())
      session->Respond(404, {}, "");
    else
      session->Respond(200, {}, it->second.dump());
  }

  void ServeList(const Session& session, const std::string& kind) {
    ++calls_["list"];
    Json items = Json::array();
    for (const auto& [key, object] : objects_) {
      if (key.first == kind)
        items.push_back(object);
    }
    const Json list = {
        {"metadata", {{"resourceVersion", std::to_string(revision_)}}},
        {"items", items}};
    session->Respond(200, {}, list.dump());
  }

  void ServePut(const Session& session,
                const std::string& kind,
                const std::string& name,
                const std::string& body) {
    ++calls_["put"];
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("spec")) {
      session->Respond(400, {}, "");
      return;
    }
    const std::string expected = json["metadata"].value("resourceVersion", "0");
    const auto it = objects_.find({kind, name});
    const std::string present =
        it == objects_.end()
            ? "0"
            : it->second["metadata"]["resourceVersion"].get<std::string>();
    if (expected != present) {
      session->Respond(409, {}, it == objects_.end() ? "" : it->second.dump());
      return;
    }
    Json object = {
        {"kind", kind},
        {"metadata",
         {{"name", name}, {"resourceVersion", std::to_string(++revision_)}}},
        {"spec", json["spec"]}};
    Publish(kind, object);
    objects_[{kind, name}] = object;
    if (faults_.lose_writes > 0) {
      --faults_.lose_writes;
      session->AbortConnection();
      return;
    }
    session->Respond(200, {}, object.dump());
  }

  void Publish(const std::string& kind, const Json& object) {
    const std::string line =
        Json{{"type", "MODIFIED"}, {"object", object}}.dump() + "\n";
    events_.push_back({revision_, kind, line});
    constexpr size_t kMaxEvents = 2000;
    if (events_.size() > kMaxEvents) {
      oldest_ = events_.front().revision;
      events_.pop_front();
    }
    for (const auto& it : watchers_) {
      if (it->kind == kind && !it->pipe->is_aborted())
        it->pipe->WriteAll(line.data(), line.size());
    }
  }

  void ServeWatch(const Session& session, const std::string& kind) {
    ++calls_["watch"];
    const uint64_t from =
        std::stoull(session->Argument("resourceVersion").value_or("0"));
    if (from < oldest_) {
      session->Respond(410, {}, "");
      return;
    }
    auto watcher = std::make_shared<Watcher>();
    watcher->kind = kind;
    watcher->pipe = std::make_shared<BytePipe>(kMaxValueBytes);
    for (const Event& it : events_) {
      if (it.revision > from && it.kind == kind)
        watcher->pipe->WriteAll(it.line.data(), it.line.size());
    }
    const int seconds =
        std::stoi(session->Argument("timeoutSeconds").value_or("30"));
    watcher->end = loop_.After(std::chrono::seconds(seconds),
                               [this, watcher] { EndWatch(watcher); });
    session->set_on_disconnect([this, watcher] { EndWatch(watcher); });
    session->RespondStream(200, {}, std::nullopt, watcher->pipe);
    watchers_.push_back(watcher);
  }

  void EndWatch(const std::shared_ptr<Watcher>& watcher) {
    watcher->pipe->End();
    watchers_.remove(watcher);
    loop_.Post([watcher] { watcher->end.reset(); });
  }

  void Control(const Session& session) {
    if (session->method() == "GET") {
      Json json = {{"calls", calls_}, {"watching", watchers_.size()}};
      session->Respond(200, {}, json.dump());
      return;
    }
    session->ReadBody(kMaxValueBytes, [this, session](auto body) {
      const Json json = Json::parse(body.value_or(""), nullptr, false);
      if (json.is_object())
        SetFaults(json);
      session->Respond(json.is_object() ? 200 : 400, {}, "");
    });
  }

  void SetFaults(const Json& json) {
    faults_.refuse = json.value("refuse", faults_.refuse);
    faults_.hang = json.value("hang", faults_.hang);
    faults_.delay_ms = json.value("delay_ms", faults_.delay_ms);
    faults_.lose_writes = json.value("lose_writes", faults_.lose_writes);
    faults_.calls_per_second =
        json.value("calls_per_second", faults_.calls_per_second);
    if (json.value("compact", false)) {
      events_.clear();
      oldest_ = revision_;
    }
    const bool drop =
        json.value("drop_watches", false) || faults_.refuse || faults_.hang;
    if (drop) {
      while (!watchers_.empty())
        EndWatch(watchers_.front());
    }
  }

  Loop& loop_;
  std::unique_ptr<HttpServer> server_;
  Faults faults_;
  std::map<std::pair<std::string, std::string>, Json> objects_;
  uint64_t revision_ = 0;
  uint64_t oldest_ = 0;  // Watches must begin at this version or later.
  std::list<Event> events_;
  std::list<std::shared_ptr<Watcher>> watchers_;
  std::map<std::string, uint64_t> calls_;
  Time window_;
  int in_window_ = 0;
};

}  // namespace

Result<std::unique_ptr<StandinStore>> StartStandinStore(Loop& loop,
                                                        const Address& listen) {
  auto store = std::make_unique<StoreImpl>(loop);
  BOOST_LEAF_CHECK(store->Start(listen));
  return std::unique_ptr<StandinStore>(std::move(store));
}

}  // namespace sassafras
