// Stand-ins for the users' platform, written from its pages: its store, its
// endpoints and callers, on the loop of a test. Gateways run as processes of
// their own; those that were started here are ended here.
#ifndef STANDINS_PLATFORM_WORLD_H_
#define STANDINS_PLATFORM_WORLD_H_

#include <sys/types.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/http_server.h"
#include "base/loop.h"
#include "gateway/stream.h"
#include "http1/http1.h"

namespace sassafras {

// The platform's store.
class PlatformStandinStore {
 public:
  PlatformStandinStore(Loop& loop, const Address& listen);

  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& specification);
  void Delete(const std::string& kind, const std::string& name);
  // As Put(), with a text in place of the specification that need not be JSON.
  void PutRawText(const std::string& kind,
                  const std::string& name,
                  const std::string& text);

  // Watches that wait now hear nothing more.
  void DropWatchEvents();
  // What has changed so far is forgotten: a watch from before is told so.
  void DropHistory();
  // Lists come in pages of so many objects.
  void set_page_size(size_t n) { page_size_ = n; }
  // All calls are answered 503.
  void set_down(bool down) { down_ = down; }
  // Answers all watches that wait, before the end of a test.
  void EndWatches();
  int calls() const { return calls_; }

 private:
  using Session = std::shared_ptr<HttpSession>;
  struct Object {
    uint64_t revision = 0;
    nlohmann::json specification;
  };
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    nlohmann::json body;
  };
  struct PendingWatch {
    std::string kind;
    uint64_t from = 0;
    Session session;
    std::unique_ptr<Watch> timer;
    bool drops_events = false;
  };

  void Answer(const Session& session);
  void AnswerWrite(const Session& session, const std::string& kind);
  void AnswerWatch(const Session& session, const std::string& kind);
  void AnswerList(const Session& session, const std::string& kind);
  void Record(const std::string& kind, const std::string& name, bool deleted);
  std::string Dump(const nlohmann::json& body) const;
  bool TryAnswerWatch(PendingWatch& watch);
  nlohmann::json BodyOf(const std::string& kind, const std::string& name);

  Loop& loop_;
  std::unique_ptr<HttpServer> server_;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::deque<Event> events_;
  std::vector<std::string> raw_texts_;  // Of PutText().
  uint64_t revision_ = 1;
  uint64_t history_from_ = 0;
  std::vector<std::shared_ptr<PendingWatch>> pending_watches_;
  size_t page_size_ = 500;
  bool down_ = false;
  int calls_ = 0;
};

// What a stand-in endpoint does with a request.
enum class StandinBehavior {
  kAnswer,
  kShed,                // Answers that it did not run the request.
  kCloseWithoutAnswer,  // Runs it and ends the connection without an answer.
  kTruncatedBody,       // Breaks off in the middle of the answer's body.
  kUnsigned,            // Answers without its signature.
  kForeignAnswerFirst,  // Answers another request first, then this one.
  kUnframed,            // Answers without a length and ends the connection.
  kServerError,         // Its own, signed 500.
  kMisdirected,         // Says that another endpoint was meant.
  kUnprovenRefusal,  // Runs it and answers 503 without proof that it did not.
  kShedWithoutRequestId,  // Runs it; writes a refusal that names no request,
                          // then this request's answer.
  kRepeatLastRefusal,  // As above, with the connection's last refusal, if any.
  kTruncatedHead,      // Breaks off in the middle of the answer's head.
  kTruncatedChunkedHead,  // As above, of an answer in chunks.
  // Sends this without end, until its connection is closed.
  kEndlessGarbage,        // No HTTP at all.
  kEndlessHead,           // Fields.
  kEndlessInterim,        // Interim answers.
  kEndlessForeignAnswer,  // Another request's answer.
  kEndlessShed,           // An answer that says it did not run the request.
  kEndlessTrailer,        // Trailers behind a whole body.
  kEndlessBody,           // The answer's own body.
};

// How long a stand-in endpoint that crashed is away.
inline constexpr std::chrono::milliseconds kStandinRestartDelay{1000};

// One of the platform's endpoints.
class PlatformStandinEndpoint {
 public:
  PlatformStandinEndpoint(Loop& loop, std::string id, const Address& listen);

  struct Run {
    std::string request_id;
    HttpHead head;
    std::string body;
    Time begun;
  };
  // Requests that it ran, in order.
  const std::vector<Run>& runs() const { return runs_; }
  int arrivals() const { return arrivals_; }
  // Whether an answer without end is being sent.
  bool is_sending_endlessly() const;
  // Runs whose connection ended before their answer.
  int cancelled() const { return cancelled_; }
  void set_behavior(StandinBehavior act) { behavior_ = act; }
  void set_work_time(Duration work_time) { work_time_ = work_time; }
  // Bytes of the head that are written by kTruncatedHead and
  // kTruncatedChunkedHead.
  void set_head_bytes_sent(size_t n) { head_bytes_sent_ = n; }
  // Size of the head that these acts cut.
  size_t head_size() const { return head_size_; }
  // Requests that end the endpoint's process as it begins to run them. All its
  // connections break; it is back after kStandinDownTime, born anew.
  using CrashRule =
      std::function<bool(const HttpHead& head, const std::string& body)>;
  void set_crash_rule(CrashRule rule) { crash_rule_ = std::move(rule); }
  void set_on_restart(std::function<void()> fn) { on_restart_ = std::move(fn); }
  int crashes() const { return crashes_; }
  nlohmann::json Record(const std::string& service,
                        const std::string& zone) const;

 private:
  struct Connection {
    std::shared_ptr<Stream> stream;
    std::unique_ptr<HttpReader> reader;
    std::string input;
    std::string body;
    std::unique_ptr<Watch> answer_timer;
    std::unique_ptr<Watch> endless_timer;
    std::string last_refusal;
  };
  void StartListening();
  void Crash();
  void Accept();
  void OnData(const std::shared_ptr<Connection>& connection,
              std::string_view data);
  void Handle(const std::shared_ptr<Connection>& connection);
  void Finish(const std::shared_ptr<Connection>& connection,
              const std::string& id);
  void SendEndlessly(const std::shared_ptr<Connection>& connection,
                     const std::string& begin,
                     const std::string& more);

  Loop& loop_;
  std::string id_;
  Address listen_;
  Socket listener_;
  std::unique_ptr<Watch> accept_;
  std::unique_ptr<Watch> restart_;
  CrashRule crash_rule_;
  std::function<void()> on_restart_;
  int crashes_ = 0;
  size_t head_bytes_sent_ = 0;
  size_t head_size_ = 0;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<Run> runs_;
  int arrivals_ = 0;
  int cancelled_ = 0;
  StandinBehavior behavior_ = StandinBehavior::kAnswer;
  Duration work_time_ = std::chrono::milliseconds(5);
};

// A caller's connection; answers arrive in the order of the requests.
class PlatformStandinCaller {
 public:
  PlatformStandinCaller(Loop& loop, const Address& to);

  struct Answer {
    HttpHead head;
    std::string body;
  };
  void Send(const std::string& text);
  const std::vector<Answer>& answers() const { return answers_; }
  bool is_closed() const { return closed_; }
  void Disconnect() { stream_->Close(); }

 private:
  void OnData(std::string_view data);

  std::shared_ptr<Stream> stream_;
  std::unique_ptr<HttpReader> reader_;
  std::string input_;
  std::string body_;
  std::vector<Answer> answers_;
  bool closed_ = false;
};

struct StandinZone {
  const char* zone;
  const char* region;
};
inline constexpr std::array<StandinZone, 3> kStandinZones = {
    {{"cuyo-a", "cuyo"}, {"pampa-a", "pampa"}, {"litoral-a", "litoral"}}};

// A store, endpoints and gateway processes on loopback addresses
// 127.NETWORK.x.y.
class PlatformWorld {
 public:
  explicit PlatformWorld(int network);
  ~PlatformWorld();
  PlatformWorld(const PlatformWorld&) = delete;
  PlatformWorld& operator=(const PlatformWorld&) = delete;

  PlatformStandinEndpoint& AddEndpoint(const std::string& service);
  // Writes the endpoint's record into the store.
  void Register(PlatformStandinEndpoint& endpoint, const std::string& service);
  // Routes /read/ and, of low rank, /archive/ (both may repeat), /charge/ (at
  // most once) and /upload/ go to "rondas"; `version` counts up.
  void PutConfig(int version, const std::string& extra_prefix = "");
  // Starts gateway number `index`; returns its callers' address.
  Address StartGateway(int index);
  // Writes the settings file of gateway `index` anew, with `more` behind it.
  void WriteSettings(int index, const std::string& more);
  // Time that look-ups may be kept, in settings written from now on.
  void set_directory_ttl_s(int ttl) { directory_ttl_s_ = ttl; }
  bool WaitReady(int index);
  void Signal(int index, int signal);
  bool WaitEnd(int index, std::chrono::milliseconds time);
  // Whether the gateway's process has ended; it is forgotten then.
  bool HasExited(int index);

  // Gateway `index` reaches the store at `address` from its next start on.
  void SetStoreAddress(int index, const Address& address);
  // Spreads hosts that start from now on over all zones of kStandinZones.
  void UseAllZones() { zones_ = kStandinZones.size(); }
  std::string ZoneOf(int index) const;

  // Runs the loop until `done` holds; false after `time`.
  bool RunUntil(std::chrono::milliseconds time,
                const std::function<bool()>& done);

  // Asks `done`, which may run the loop itself, until it holds; false after
  // `time`.
  bool Eventually(std::chrono::milliseconds time,
                  const std::function<bool()>& done);

  Loop& loop() { return loop_; }
  PlatformStandinStore& store() { return *store_; }
  // Address of the deployment's network.
  Address HostAddress(int index, uint16_t port) const;
  Address StoreAddress() const;
  Address CallerAddressOf(int index) const;
  Address OperatorAddressOf(int index) const;
  Address DirectoryAddressOf(int index) const;
  std::string LogPathOf(int index) const;
  // Memory of the gateway's process, in bytes.
  size_t ResidentMemoryOf(int index) const;
  // Processor time that the gateway's process has used.
  Duration CpuTimeOf(int index) const;

 private:
  std::string SettingsText(int index) const;
  std::string SettingsPathOf(int index) const;

  int network_;
  int directory_ttl_s_ = 5;
  Loop loop_;
  std::string folder_;
  std::unique_ptr<PlatformStandinStore> store_;
  std::vector<std::unique_ptr<PlatformStandinEndpoint>> endpoints_;
  std::map<int, pid_t> gateways_;
  std::map<int, Address> store_addresses_;  // Where not StoreAddress().
  size_t zones_ = 1;
};

// Text of a request with the platform's fields.
std::string RequestText(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        const std::string& more_fields = "",
                        const std::string& body = "");

}  // namespace sassafras

#endif  // STANDINS_PLATFORM_WORLD_H_
