// Test doubles for the platform, written from its documentation: its store,
// endpoints and callers, which run on the event loop of the test. Gateways run
// as separate processes; PlatformWorld starts them and kills those that are
// left when it is destroyed.
#ifndef STANDINS_PLATFORM_WORLD_H_
#define STANDINS_PLATFORM_WORLD_H_

#include <sys/types.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/http_server.h"
#include "base/loop.h"
#include "gateway/stream.h"
#include "http1/http1.h"

namespace sassafras {

// How a store reads the name in a query after which a list goes on. Names of
// unreserved characters (RFC 3986) are read alike by all.
enum class StandinNameReading {
  kDecoded,             // As RFC 3986 and forms say.
  kNotDecoded,          // Escapes stay in the name.
  kDecodedBeforeSplit,  // The query is decoded, and then split at "&".
  kRefused,             // Other names are answered 400,
  kUnavailable,         // 503,
  kUnanswered,          // or not at all.
  kEndsAfterUnknown,    // Nothing follows a name that no object has.
};

// What a store does with a name after which a list shall go on, if no object
// has it.
enum class StandinUnknownName {
  kAccepted,      // Goes on where such an object would stand.
  kRefused,       // Answers 400,
  kUnavailable,   // 503,
  kUnanswered,    // or not at all.
  kEndsList,      // Answers an empty last page.
  kRestartsList,  // Answers the first page.
};

// Order of the objects in lists.
enum class StandinOrder {
  kByBytes,
  kDescending,
  kIgnoringCase,
  kIgnoringPunctuation,  // As some collations do; by bytes for equal names.
  kByHash,
  kByCreation,  // An unknown name stands before all objects.
};

// What the platform's documentation leaves open about lists.
struct StandinListRules {
  StandinNameReading name_reading = StandinNameReading::kDecoded;
  StandinUnknownName unknown_name = StandinUnknownName::kAccepted;
  StandinOrder order = StandinOrder::kByBytes;
  // A list goes on only after the last name of a page; others are answered 400.
  bool continues_only_after_pages = false;
  size_t page_size = 500;       // In objects.
  size_t page_bytes = 1 << 20;  // A page has one object at least.
};

// In-memory stand-in for the platform's store, with lists in pages and watches
// by long polling.
class PlatformStandinStore {
 public:
  PlatformStandinStore(Loop& loop, const Address& listen);

  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& specification);
  void Delete(const std::string& kind, const std::string& name);
  // Like Put(), but lists and watches show `text` unchanged as the
  // specification. It need not be valid JSON.
  void PutRawText(const std::string& kind,
                  const std::string& name,
                  const std::string& text);

  // Like Put(), but lists and watches show the object without a name.
  void PutNameless(const std::string& kind,
                   const std::string& name,
                   const nlohmann::json& specification);

  // The watches that wait now receive no further events. They are answered at
  // their timeout, with the revision at which they started.
  void DropWatchEvents();
  // The connections of the watches that wait now fall silent: these are never
  // answered. Returns how many there were.
  size_t SilenceWatches();
  // Drops the history of changes. A later watch that starts from an earlier
  // revision is answered 410 (Gone).
  void DropHistory();
  // Lists are returned in pages of at most `n` objects.
  void set_page_size(size_t n) { list_rules_.page_size = n; }
  void set_name_reading(StandinNameReading reading) {
    list_rules_.name_reading = reading;
  }
  void set_list_rules(const StandinListRules& rules);
  // Reads beyond these are answered 429, but not those that may be stale.
  void set_max_reads_per_second(size_t n) { max_reads_per_second_ = n; }
  // While set, calls for pages after the first one are answered 503.
  void set_later_pages_fail(bool on) { later_pages_fail_ = on; }
  // Lists that may be stale show the state at the first of these calls, until
  // it is called with false.
  void set_stale_lists(bool stale);
  // Such lists name the store's present revision rather than the one of the
  // state that they show. The platform's documentation allows both.
  void set_stale_lists_name_present_revision(bool on) {
    stale_names_present_revision_ = on;
  }
  // While `down` is set, all calls are answered with `status`.
  void set_down(bool down, int status = 503) {
    down_ = down;
    down_status_ = status;
  }
  // Keeps a copy of all objects, from which the store can come back.
  void TakeCopy();
  // What was written since the copy is lost, and its revisions are given out
  // again. From then on all answers name the next era.
  void ComeBackFromCopy();
  // Writes again what the operator and the endpoints had written and the last
  // copy lacked. To be called before they write anything else.
  void WriteLostAgain();
  // Answers all watches that wait with 503.
  void EndWatches();
  // Number of calls received.
  int calls() const { return calls_; }

 private:
  using Session = std::shared_ptr<HttpSession>;
  struct Object {
    uint64_t revision = 0;
    nlohmann::json specification;
    uint64_t created = 0;  // Revision.
  };
  using Objects = std::map<std::string, Object>;
  struct Snapshot {
    std::map<std::string, std::map<std::string, Object>> kinds;
    uint64_t revision = 0;
    uint64_t era = 0;
  };
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    nlohmann::json body;
  };
  // A watch that waits for events.
  struct PendingWatch {
    std::string kind;
    uint64_t from_revision = 0;  // Only events of later revisions are returned.
    Session session;
    std::unique_ptr<Watch> timer;
    bool drops_events = false;
  };

  void Answer(const Session& session);
  void AnswerWrite(const Session& session, const std::string& kind);
  void AnswerWatch(const Session& session, const std::string& kind);
  void AnswerList(const Session& session, const std::string& kind);
  void AnswerObject(const Session& session,
                    const std::string& kind,
                    const std::string& name);
  // Answers calls for a name after which the store does not go on; returns
  // false for other calls.
  bool RefuseName(const Session& session, const std::string& kind);
  // As an answer of RefuseName().
  void Refuse(const Session& session, StandinUnknownName how);
  // Where objects stand in lists.
  std::string SortKey(const Objects& objects, const std::string& name) const;
  // The name after which the page begins, as the store reads it.
  std::string NameAfter(const Session& session) const;
  void PublishEvent(const std::string& kind,
                    const std::string& name,
                    bool deleted);
  std::string Dump(const nlohmann::json& body) const;
  // Those of all answers.
  HttpHeaders Fields() const;
  // Whether this call is one more than the store allows in a second.
  bool ExceedsRate(const Session& session);
  bool TryAnswerWatch(PendingWatch& watch);
  std::string AddRawText(const std::string& text);
  nlohmann::json ObjectJson(const std::string& name,
                            const Object& object) const;

  Loop& loop_;
  std::unique_ptr<HttpServer> server_;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::deque<Event> events_;
  // Texts that replace the placeholders of AddRawText().
  std::vector<std::string> raw_texts_;
  // Placeholders of the names that are not valid UTF-8.
  std::map<std::string, std::string> raw_names_;
  std::set<std::string> nameless_;  // From PutNameless().
  uint64_t revision_ = 1;
  uint64_t era_ = 0;
  std::optional<Snapshot> copy_;
  Snapshot lost_;              // The state before it was replaced by the copy.
  uint64_t history_from_ = 0;  // First revision in the history; 0: all are.
  std::vector<std::shared_ptr<PendingWatch>> pending_watches_;
  StandinListRules list_rules_;
  std::set<std::string> page_ends_;  // Last names of the pages shown so far.
  std::vector<Session> unanswered_;
  std::optional<Snapshot> stale_;  // What lists that may be stale show.
  bool stale_names_present_revision_ = false;
  size_t max_reads_per_second_ = 0;  // Zero: no limit.
  std::deque<Time> reads_;           // Of the last second.
  bool later_pages_fail_ = false;
  bool down_ = false;
  int down_status_ = 503;
  int calls_ = 0;
};

// What a stand-in endpoint does with a request.
enum class StandinBehavior {
  kAnswer,
  kShed,                // Does not run the request; answers 503 and says so.
  kShedTooMany,         // Like kShed, with 429.
  kCloseWithoutAnswer,  // Runs it and closes the connection without an answer.
  kTruncatedBody,  // Closes the connection in the middle of the answer's body.
  kUnsigned,       // Answers without its signature.
  kForeignAnswerFirst,  // Sends an answer to another request before its own.
  kUnframed,  // Answers without Content-Length and closes the connection.
  // Runs the request and sends the text of set_raw_answer().
  kRawAnswer,
  // As kRawAnswer, but once it has the request's head; it reads no body. Then
  // resets the connection, which closing with unread bytes does.
  kEarlyRawAnswerAndReset,
  // As kEarlyRawAnswerAndReset, but closes its side of the connection in order.
  kEarlyRawAnswerAndClose,
  kServerError,  // Answers 500 with its signature.
  kNotFound,     // Answers 404 with its signature.
  kTimeout,      // Answers 504 with its signature.
  kMisdirected,  // Answers 421, as if the request were for another endpoint.
  kUnprovenRefusal,  // Runs it and answers 503 without proof that it did not.
  kShedWithoutRequestId,  // Runs it; writes a refusal that names no request,
                          // then this request's answer.
  kRepeatLastRefusal,     // Like kShedWithoutRequestId, but repeats the last
                          // refusal sent on the connection, if any.
  kTruncatedHead,         // Closes the connection in the middle of the answer's
                          // head.
  kTruncatedChunkedHead,  // Like kTruncatedHead, for a chunked answer.
  // The following send without end, until the connection is closed.
  kEndlessGarbage,        // Bytes that are not HTTP.
  kEndlessHead,           // Fields of the answer's head.
  kEndlessHeadLine,       // One field of the answer's head.
  kEndlessEmptyLines,     // Empty lines in place of an answer.
  kEndlessChunkSize,      // The size line of a chunk.
  kEndlessInterim,        // Interim answers.
  kEndlessForeignAnswer,  // Another request's answer.
  kEndlessShed,           // An answer that says it did not run the request.
  kEndlessTrailer,        // Trailer fields after a complete body.
  kEndlessBody,           // The answer's own body.
};

// What a stand-in endpoint does with its connections when it crashes.
enum class StandinCrash {
  kClosesConnections,
  // Reads and sends nothing more on them. Closes them at its restart, which
  // follows after kStandinSilentRestartDelay.
  kSilent,
  // Reads and sends nothing more on them, even after its restart.
  kSilentForGood,
};

// Time from the crash of a stand-in endpoint to its restart. kSilent lasts
// longer than the time limit of the requests.
inline constexpr std::chrono::milliseconds kStandinRestartDelay{1000};
inline constexpr std::chrono::milliseconds kStandinSilentRestartDelay{4500};

// Stand-in for one of the platform's endpoints: an HTTP server that can be made
// to answer wrongly, slowly or not at all.
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
  struct Arrival {
    std::string request_id;
    std::string target;
    Time at;
  };
  // Requests received, whether run or refused.
  const std::vector<Arrival>& all_arrivals() const { return arrivals_; }
  int arrivals() const { return static_cast<int>(arrivals_.size()); }
  struct Refusal {
    std::string request_id;
    std::string retry_after;  // Value of Retry-After; empty: not sent.
    Time at;
  };
  // Requests refused because of kShed or set_max_running().
  const std::vector<Refusal>& refusals() const { return refusals_; }
  // Whether an endless answer is being sent.
  bool is_sending_endlessly() const;
  // Number of requests whose connection ended before they were answered.
  int cancelled() const { return cancelled_; }
  void set_behavior(StandinBehavior behavior) { behavior_ = behavior; }
  // Says in all answers that it is leaving. A crash ends that.
  void set_leaving(bool leaving) { is_leaving_ = leaving; }
  // Whether the answer to this request said so.
  bool HasSaidLeaving(const std::string& request_id) const {
    return said_leaving_.count(request_id) > 0;
  }
  // Says so in the trailer of its answers of kAnswer rather than in the head.
  void set_uses_trailer(bool on) { uses_trailer_ = on; }
  // Value of Retry-After in refusals of kShed; empty: none.
  void set_retry_after(std::string value) { retry_after_ = std::move(value); }
  // Requests that run at the same time, above which it refuses further ones as
  // with kShed; 0: no limit.
  void set_max_running(size_t n) { max_running_ = n; }
  // Time from the receipt of a request to its answer or refusal.
  void set_work_time(Duration work_time) { work_time_ = work_time; }
  // Gives connections that are accepted from now on the segments and receive
  // buffers of a network. With those of the loopback interface, whole uploads
  // fit into the socket buffers.
  void UseSmallSocketBuffers();
  // Text that is sent as the answer to the request `id`.
  using RawAnswer = std::function<std::string(const std::string& id)>;
  void set_raw_answer(RawAnswer answer) { raw_answer_ = std::move(answer); }
  // Size in bytes to which the bodies of answers are padded; 0: no padding.
  void set_answer_bytes(size_t n) { answer_bytes_ = n; }
  // Number of bytes of the head that kTruncatedHead and kTruncatedChunkedHead
  // send.
  void set_head_bytes_sent(size_t n) { head_bytes_sent_ = n; }
  // Size in bytes of the last head that was truncated.
  size_t head_size() const { return head_size_; }
  // Tells which requests crash the endpoint when it begins to run them. A crash
  // closes all its connections. After kStandinRestartDelay it is back with a
  // new start time in its record.
  using CrashRule =
      std::function<bool(const HttpHead& head, const std::string& body)>;
  void set_crash_rule(CrashRule rule) { crash_rule_ = std::move(rule); }
  void set_crash(StandinCrash crash) { crash_ = crash; }
  // Availability zone in its records from now on.
  void set_zone(std::string zone) { zone_ = std::move(zone); }
  const std::string& zone() const { return zone_; }
  void set_on_restart(std::function<void()> fn) { on_restart_ = std::move(fn); }
  int crashes() const { return crashes_; }
  // Ends its leaving, and registers with a new start time.
  void Restart();
  // The endpoint's record, as an object's specification in the store.
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
  // Adds what the endpoint says about itself to the fields of an answer.
  void AddNotices(HttpFields& fields) const;
  size_t CountRunning() const;
  void CloseConnections();
  void Accept();
  void OnData(const std::shared_ptr<Connection>& connection,
              std::string_view data);
  void SendEarlyAnswer(const std::shared_ptr<Connection>& connection);
  void HandleRequest(const std::shared_ptr<Connection>& connection);
  void SendRefusal(const std::shared_ptr<Connection>& connection,
                   const std::string& request_id,
                   int status);
  void SendAnswer(const std::shared_ptr<Connection>& connection,
                  const std::string& id);
  void SendEndlessly(const std::shared_ptr<Connection>& connection,
                     const std::string& begin,
                     const std::string& more);

  Loop& loop_;
  std::string id_;
  std::string zone_;
  Address listen_;
  Socket listener_;
  std::unique_ptr<Watch> accept_watch_;
  std::unique_ptr<Watch> restart_timer_;
  CrashRule crash_rule_;
  RawAnswer raw_answer_;
  std::function<void()> on_restart_;
  int crashes_ = 0;
  StandinCrash crash_ = StandinCrash::kClosesConnections;
  bool is_leaving_ = false;
  std::set<std::string> said_leaving_;  // Requests whose answers said so.
  bool uses_trailer_ = false;
  std::string retry_after_;
  size_t max_running_ = 0;
  size_t head_bytes_sent_ = 0;
  size_t head_size_ = 0;
  std::vector<std::shared_ptr<Connection>> connections_;
  // Of crashes of kSilentForGood.
  std::vector<std::shared_ptr<Connection>> silent_connections_;
  std::vector<Run> runs_;
  std::vector<Arrival> arrivals_;
  std::vector<Refusal> refusals_;
  int cancelled_ = 0;
  StandinBehavior behavior_ = StandinBehavior::kAnswer;
  Duration work_time_ = std::chrono::milliseconds(5);
  size_t answer_bytes_ = 0;
};

// Stand-in for a caller: one connection to a gateway. Answers arrive in the
// order of the requests.
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
  // Stops reading, as a caller on a slow link does.
  void PauseReading() { stream_->SetReading(false); }
  void ResumeReading() { stream_->SetReading(true); }
  // Whether the end of the connection left an answer incomplete.
  bool has_partial_answer() const {
    return reader_->has_started() || !input_.empty();
  }

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

  PlatformStandinEndpoint& AddEndpoint(
      const std::string& service,
      const std::string& zone = kStandinZones[0].zone);
  // Writes the endpoint's record into the store.
  void Register(PlatformStandinEndpoint& endpoint, const std::string& service);
  // Writes a configuration whose routes all go to the service "rondas": /read/
  // and /archive/ (idempotent; /archive/ with a lower priority), /charge/ (not
  // idempotent), /upload/, /download/, and `extra_prefix` (idempotent) if not
  // empty.
  // `version` must grow with each call. Home regions are those of SetHomes().
  void PutConfig(int version, const std::string& extra_prefix = "");
  // What PutConfig() writes.
  nlohmann::json ConfigJson(int version, const std::string& extra_prefix) const;
  // Home regions of the route with this prefix, in configurations that are
  // written from now on. Empty: any region. A prefix that PutConfig() does not
  // list becomes a route, not idempotent if it begins with /charge/.
  void SetHomes(const std::string& prefix, std::vector<std::string> regions) {
    homes_[prefix] = std::move(regions);
  }
  // Starts gateway number `index`; returns the address for its callers.
  Address StartGateway(int index);
  // Writes the settings file of gateway `index` again and appends `more` to it.
  void WriteSettings(int index, const std::string& more);
  // Sets the time in seconds for which callers may cache directory answers, in
  // settings that are written from now on.
  void set_directory_ttl_s(int ttl) { directory_ttl_s_ = ttl; }
  // Appended to the settings of gateways that start from now on.
  void set_more_settings(std::string more) { more_settings_ = std::move(more); }
  bool WaitReady(int index);
  void Signal(int index, int signal);
  bool WaitEnd(int index, std::chrono::milliseconds time);
  // Whether the gateway's process has exited. If so, stops tracking it.
  bool HasExited(int index);
  // The exit code or signal of the process that HasExited() last found ended.
  const std::string& last_exit() const { return last_exit_; }

  // From its next start on, gateway `index` connects to the store at `address`.
  void SetStoreAddress(int index, const Address& address);
  // Assigns hosts that start from now on to all availability zones of
  // kStandinZones; otherwise all are in the first one.
  void UseAllZones() { zone_count_ = kStandinZones.size(); }
  std::string ZoneOf(int index) const;

  // Runs the loop until `done` returns true. Returns false if it does not
  // within `time`.
  bool RunUntil(std::chrono::milliseconds time,
                const std::function<bool()>& done);

  // Like RunUntil(), for a `done` that may run the loop itself.
  bool Eventually(std::chrono::milliseconds time,
                  const std::function<bool()>& done);

  Loop& loop() { return loop_; }
  PlatformStandinStore& store() { return *store_; }
  // Address of host `index` in this world's loopback network.
  Address HostAddress(int index, uint16_t port) const;
  Address StoreAddress() const;
  Address CallerAddressOf(int index) const;
  Address OperatorAddressOf(int index) const;
  Address DirectoryAddressOf(int index) const;
  std::string LogPathOf(int index) const;
  pid_t ProcessOf(int index) const { return gateways_.at(index); }
  // Resident memory of the gateway's process, in bytes.
  size_t ResidentMemoryOf(int index) const;
  // The process's peak of resident memory, in bytes.
  size_t PeakMemoryOf(int index) const;
  // Bytes that the gateway's callers have sent and it has not read.
  size_t UnreadBytesOf(int index) const;
  // Open sockets and pipes of the gateway's process.
  size_t OpenSocketsOf(int index) const;
  // Lowers the limit that the system puts on the process's descriptors.
  void SetDescriptorLimit(int index, size_t n);
  // CPU time that the gateway's process has used, in user and system mode.
  Duration CpuTimeOf(int index) const;

 private:
  // Prints the state and the log of a host that is not ready.
  void PrintHost(int index) const;
  std::string SettingsText(int index) const;
  std::string SettingsPathOf(int index) const;

  int network_;
  int directory_ttl_s_ = 5;
  std::string more_settings_;
  Loop loop_;
  std::string folder_;
  std::unique_ptr<PlatformStandinStore> store_;
  std::vector<std::unique_ptr<PlatformStandinEndpoint>> endpoints_;
  std::map<int, pid_t> gateways_;
  std::string last_exit_;
  // Of gateways that do not use StoreAddress().
  std::map<int, Address> store_addresses_;
  std::map<std::string, std::vector<std::string>> homes_;  // By path prefix.
  size_t zone_count_ = 1;  // Number of availability zones in use.
};

// HTTP text of a request with the platform's fields.
std::string RequestText(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        const std::string& more_fields = "",
                        const std::string& body = "");

}  // namespace sassafras

#endif  // STANDINS_PLATFORM_WORLD_H_
