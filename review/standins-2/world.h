// Stand-ins for scripts of the review: the platform's store, servers and
// clients, and a starter of gateway processes. All addresses are loopback ones.
// One thread serves one connection.
#ifndef REVIEW_STANDINS_2_WORLD_H_
#define REVIEW_STANDINS_2_WORLD_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// Seconds since the start of the process.
double Now();
void Sleep(double seconds);

// Whether the disruption is to be made: false if TROUBLE is 0.
bool HasTrouble();

// Ends all processes that were started, and this one.
[[noreturn]] void Exit(int code);

// Opens the record and sets a limit on the time of the whole run.
void Begin(const std::string& record_path, int limit_s);
// Adds a line to the record and prints it.
void Note(const char* format, ...) __attribute__((format(printf, 1, 2)));

struct Head {
  std::string line;  // Request line or status line.
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Field(const std::string& name) const;  // Empty if missing.
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// A connection with a buffer of what was received.
class Conn {
 public:
  explicit Conn(int fd) : fd_(fd) {}
  ~Conn();
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;

  static int Connect(const std::string& ip, int port);

  void SetTimeout(double seconds);  // Of each read.
  // False at the end of the connection, at a time-out or on malformed input.
  bool ReadHead(Head& head);
  // Reads up to `n` bytes, at least one; empty at the end or a time-out.
  std::string ReadSome(size_t n);
  // Returns fewer than `n` bytes at the end or a time-out.
  std::string ReadExact(size_t n);
  // Reads a chunked body; false if it does not end properly.
  bool ReadChunked(std::string& body);
  bool Write(const std::string& data);
  void Close();

 private:
  bool Fill();

  int fd_;
  std::string buffer_;
};

struct Answer {
  int status = 0;  // 0: none.
  Head head;
  std::string body;
  bool complete = false;
};

// Reads one answer with a length, chunks or an end of the connection.
Answer ReadAnswer(Conn& conn);

class Listener {
 public:
  Listener(const std::string& ip,
           int port,
           std::function<void(Conn&)> serve);

 private:
  int fd_;
};

// The platform's store: lists, watches and conditional creation. Answers are
// linearizable, and all history is kept.
class Store {
 public:
  Store(const std::string& ip, int port);

  // `specification` is sent as it is; it need not be valid JSON.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& specification);
  void Delete(const std::string& kind, const std::string& name);

 private:
  struct Object {
    uint64_t revision = 0;
    std::string specification;
  };
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    std::string json;
  };

  void Serve(Conn& conn);
  std::string AnswerWatch(const std::string& kind, uint64_t from, int wait_ms);
  std::string AnswerList(const std::string& kind);
  static std::string Json(const std::string& name, const Object& object);

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 10;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Event> events_;
};

// Addresses of one run. Ports were free when it began.
struct Addresses {
  std::string prefix;  // "127.a.b."
  int base_port = 0;

  std::string Ip(int index) const { return prefix + std::to_string(index); }
  int front() const { return base_port; }
  int ready() const { return base_port + 1; }
  int control() const { return base_port + 2; }
  int directory() const { return base_port + 3; }
  int store() const { return base_port + 4; }
  int server() const { return base_port + 5; }
  int inner() const { return base_port + 10; }
};
Addresses ChooseAddresses();

constexpr int kStoreIndex = 200;

struct GatewayOptions {
  std::string zone = "z1-a";
  std::string region = "z1";
  std::string more;  // Further lines of the settings file.
};

// A gateway process, started with the command of the deploy file.
class Gateway {
 public:
  Gateway(const Addresses& addresses, int index, GatewayOptions options = {});

  void Start();
  bool WaitReady(double seconds);
  void Signal(int signal);
  // Whether the process still runs; notes how it ended.
  bool Runs();
  int index() const { return index_; }
  const std::string& ip() const { return ip_; }
  std::string log_path() const;

 private:
  Addresses addresses_;
  int index_;
  GatewayOptions options_;
  std::string ip_;
  pid_t pid_ = -1;
};

// Folder for settings and logs; removed by Exit().
const std::string& Folder();

// A server's entry in the store.
std::string ServerEntry(const std::string& service,
                        const std::string& address,
                        const std::string& zone,
                        const std::string& state = "ready",
                        const std::string& more = "");

struct Route {
  std::string prefix;
  std::string type;
  std::string service;
  double timeout_s = 4;
  int max_attempts = 2;
  std::string more;  // Further members of the route.
};
std::string Config(int version, const std::vector<Route>& routes);
constexpr char kHost[] = "app.example";

// Head of a request with the platform's fields, without the empty line.
std::string RequestHead(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int deadline_ms);

// Sends one request on a new connection.
Answer Ask(const std::string& ip, int port, const std::string& request);

}  // namespace review

#endif  // REVIEW_STANDINS_2_WORLD_H_
