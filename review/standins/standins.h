// Stand-ins for the platform's store, its servers and its clients, written from
// the users' pages, for the review's scripts. Each runs in threads of its own
// with blocking sockets; the gateways run as separate processes.
#ifndef REVIEW_STANDINS_H_
#define REVIEW_STANDINS_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

// Milliseconds of the steady clock since the start of the process.
int64_t NowMs();
void SleepMs(int64_t ms);
int64_t UnixMs();

// Writes lines with their time to the record of the run; safe from any thread.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  FILE* file_;
};

struct Head {
  std::string start;  // First line.
  std::vector<std::pair<std::string, std::string>> fields;

  // Value of a field, ignoring case; empty if it is missing.
  std::string Get(const std::string& name) const;
  // Words of the first line.
  std::string Word(int index) const;
  std::string Path() const;  // Of a request, without its query.
  int Status() const;        // Of an answer.
};

// A blocking TCP connection with a read buffer.
class Conn {
 public:
  explicit Conn(int fd) : fd_(fd) {}
  ~Conn();
  Conn(const Conn&) = delete;

  // Connects to ip:port; null on failure.
  static std::unique_ptr<Conn> Open(const std::string& ip, int port);

  bool Write(const std::string& data);
  // Reads up to the end of a head. Nothing if the connection ended before, or
  // `until_ms` passed.
  std::optional<Head> ReadHead(int64_t until_ms);
  // Appends up to `n` bytes of the stream to `out`; returns their number, zero
  // at the end of the connection and -1 after `until_ms` or a reset.
  ssize_t ReadSome(std::string& out, size_t n, int64_t until_ms);
  // Reads exactly `n` bytes; false if the connection ends before.
  bool ReadExactly(std::string& out, size_t n, int64_t until_ms);
  // Reads the body that `head` announces by length, chunks or (for an answer)
  // the end of the connection; false if it is incomplete.
  bool ReadBody(const Head& head, std::string& out, int64_t until_ms);
  // Waits until the peer has closed or `until_ms`; true if it has closed.
  bool WaitClosed(int64_t until_ms);
  const std::string& buffered() const { return buffer_; }
  bool was_reset() const { return was_reset_; }
  void Shutdown();
  void Reset();  // Closes with a reset.

 private:
  ssize_t Fill(int64_t until_ms);

  int fd_;
  bool was_reset_ = false;
  std::string buffer_;
};

// Accepts connections on ip:port (port 0: a free one) and serves each in a
// thread of its own, until the process exits.
class Listener {
 public:
  using Serve = std::function<void(Conn&)>;
  Listener(const std::string& ip, int port, Serve serve);
  int port() const { return port_; }

 private:
  int port_ = 0;
};

// The platform's metadata store: objects by kind and name, lists, watches.
class Store {
 public:
  explicit Store(const std::string& ip);
  int port() const { return listener_->port(); }

  void Put(const std::string& kind, const std::string& name, const Json& spec);
  void Delete(const std::string& kind, const std::string& name);

 private:
  struct Object {
    uint64_t revision = 0;
    uint64_t created = 0;
    Json spec;
  };
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    Json body;
  };

  void Serve(Conn& conn);
  std::pair<int, Json> Answer(const Head& head, const std::string& body);
  std::pair<int, Json> List(const std::string& kind);
  std::pair<int, Json> Wait(const std::string& kind,
                            uint64_t from,
                            int64_t wait_ms);
  Json Form(const std::string& name, const Object& object) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Event> events_;
  uint64_t revision_ = 1;
  std::unique_ptr<Listener> listener_;
};

struct Route {
  std::string prefix;
  std::string type;
  std::string service;
  double timeout_s = 4;
  double target_s = 0.6;
  int priority = 0;
  bool sticky = true;
};

// The operator's configuration with one host "h.example".
Json Configuration(int version,
                   const std::vector<std::string>& services,
                   const std::vector<Route>& routes);

// The entry by which a server registers itself.
Json ServerEntry(const std::string& service,
                 const std::string& ip,
                 int port,
                 const std::string& zone,
                 int slots,
                 double cold_remaining_s = 0);

// A sound answer of a server with its seal.
std::string ServerAnswer(const std::string& request_id,
                         int status,
                         const std::string& more_fields,
                         const std::string& body);
std::string SealOf(const std::string& request_id);

// Runs gateways with the command of the deploy file, each with a settings file
// of its own in a temporary folder.
class Gateways {
 public:
  // `grace_s` and the other bounds are those of a small deployment.
  Gateways(const std::string& folder, int store_port, double grace_s, int n);
  ~Gateways();  // Ends all that still run.

  void Start(int index);
  bool WaitReady(int index, int64_t until_ms);
  void Signal(int index, int signal);
  bool HasExited(int index);
  std::string ip(int index) const;
  int front_port() const { return front_port_; }

 private:
  std::string SettingsText(int index) const;

  std::string folder_;
  int store_port_;
  double grace_s_;
  int front_port_;
  int ready_port_;
  int control_port_;
  int directory_port_;
  int internal_port_;
  std::vector<pid_t> pids_;
};

// Arguments of a case's program, from its environment and command line.
struct Options {
  std::string record;  // Path of the record.
  std::string folder;  // Temporary folder.
  bool trouble = true;
};
Options ParseOptions(int argc, char** argv);

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

}  // namespace review

#endif  // REVIEW_STANDINS_H_
