// A request crashes each server that begins to run it. The server falls silent
// and is back some seconds later; the request comes again, with the same path,
// caller and body, at any gateway. Checks how often it reaches servers later
// than the stable window after it has crashed the third.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <set>

#include "standins.h"

namespace review {
namespace {

constexpr char kServerIp[] = "127.0.0.34";
constexpr int kServers = 8;
constexpr int kSlots = 3;
constexpr int64_t kWorkMs = 200;
// The site's longest time of crashed servers.
constexpr int64_t kDownMs = 4500;
constexpr int64_t kTimeoutMs = 2000;  // Of the route, from the site.
constexpr int64_t kDeadlineMs = 3000;
constexpr int64_t kReturnMs = 2500;  // From one arrival to the next.
constexpr int64_t kLoadMs = 40'000;
constexpr int kClients = 4;
constexpr int64_t kStableWindowMs = 4000;
constexpr int kMostLateRetries = 3;  // The rule's bound.
constexpr char kPoisonPath[] = "/sheet/7b";

struct Crash {
  int64_t at = 0;
  std::string server;
};

struct Run {
  explicit Run(const Options& options)
      : options(options), record(options.record) {}

  Options options;
  Record record;
  // Whether a crash closes the server's connections at once, for comparison.
  bool is_loud = false;
  std::mutex mutex;
  std::vector<Crash> crashes;
  std::atomic<int> served{0};
  std::atomic<int> lost_work{0};  // Other requests at servers that crashed.
};

// A server whose connections all fall silent when it crashes. It accepts none
// until it is back, with a new start time.
class Server {
 public:
  Server(Run& run, Store& store, std::string name)
      : run_(run), store_(store), name_(std::move(name)) {
    Listen();
    Register();
    std::thread([this] { AcceptAll(); }).detach();
  }

 private:
  void Listen() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(port_));
    inet_pton(AF_INET, kServerIp, &to.sin_addr);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0 ||
        ::listen(fd, 512) != 0)
      std::exit(kCannotRun);
    socklen_t size = sizeof(to);
    getsockname(fd, reinterpret_cast<sockaddr*>(&to), &size);
    port_ = ntohs(to.sin_port);
    listener_ = fd;
  }

  void Register() {
    store_.Put("servers", name_,
               ServerEntry("rondas", kServerIp, port_, "cuyo-a", kSlots));
  }

  void AcceptAll() {
    while (true) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(10);
        continue;
      }
      std::thread([this, fd] {
        Conn conn(fd);
        Serve(conn, start_);
      }).detach();
    }
  }

  // Holds the connection of a start that has crashed until the server is back,
  // then resets it.
  void WaitUntilBack(Conn& conn, int start) {
    while (!run_.is_loud && start_ == start)
      SleepMs(5);
    conn.Reset();
  }

  void Crash(const std::string& id) {
    const int fd = listener_.exchange(-1);
    is_down_ = true;
    ::shutdown(fd, SHUT_RDWR);
    ::close(fd);
    {
      const std::lock_guard<std::mutex> lock(run_.mutex);
      run_.crashes.push_back({NowMs(), name_});
    }
    run_.record.Line(name_ + " crashes by " + id);
    std::thread([this] {
      SleepMs(kDownMs);
      ++start_;
      is_down_ = false;
      Listen();
      Register();
    }).detach();
  }

  void Serve(Conn& conn, int start) {
    while (const auto head = conn.ReadHead(NowMs() + 10'000)) {
      if (start_ != start || is_down_) {
        WaitUntilBack(conn, start);
        return;
      }
      const std::string id = head->Get("Request-Id");
      if (head->Get("Target-Instance") != name_) {
        conn.Write("HTTP/1.1 421 X\r\nRequest-Id: " + id +
                   "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (head->Path() == kPoisonPath) {
        Crash(id);
        WaitUntilBack(conn, start);
        return;
      }
      SleepMs(kWorkMs);
      if (start_ != start || is_down_) {
        ++run_.lost_work;
        run_.record.Line(name_ + " loses " + id + ", at which it was at work");
        WaitUntilBack(conn, start);
        return;
      }
      if (!conn.Write(ServerAnswer(id, 200, "", "sheet " + id)))
        return;
    }
  }

  Run& run_;
  Store& store_;
  std::string name_;
  int port_ = 0;
  std::atomic<int> listener_{-1};
  std::atomic<int> start_{0};
  std::atomic<bool> is_down_{false};
};

std::string RequestText(const std::string& path,
                        const std::string& id,
                        const std::string& object) {
  return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
         "\r\nCookie: Affinity-Key=" + object +
         "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n\r\n";
}

int Send(Gateways& gateways,
         int host,
         const std::string& text,
         std::unique_ptr<Conn>& conn) {
  if (!conn)
    conn = Conn::Open(gateways.ip(host), gateways.front_port());
  if (!conn)
    return 0;
  conn->Write(text);
  const auto head = conn->ReadHead(NowMs() + kDeadlineMs);
  std::string body;
  const bool whole = head && conn->ReadBody(*head, body, NowMs() + 500);
  if (!whole || head->Get("Connection") == "close")
    conn.reset();
  return whole ? head->Status() : 0;
}

void SendReads(Run& run, Gateways& gateways, int client, int64_t until) {
  std::unique_ptr<Conn> conn;
  for (int n = 0; NowMs() < until; ++n) {
    const std::string id =
        "s" + std::to_string(client) + "-" + std::to_string(n);
    const std::string object = std::to_string((client * 5 + n) % 24);
    const int status = Send(gateways, client % 2,
                            RequestText("/sheet/o" + object, id, object), conn);
    run.served += status == 200 ? 1 : 0;
    SleepMs(20);
  }
}

void SendPoison(Run& run, Gateways& gateways, int64_t until) {
  std::unique_ptr<Conn> conn;
  for (int n = 0; NowMs() < until; ++n) {
    const int64_t start = NowMs();
    const std::string id = "again-" + std::to_string(n);
    const int host = n % 2;
    conn.reset();
    const int status =
        Send(gateways, host, RequestText(kPoisonPath, id, "p7"), conn);
    run.record.Line("client got for " + id + " from front-" +
                    std::to_string(host) + ": " + std::to_string(status));
    SleepMs(start + kReturnMs - NowMs());
  }
}

int Main(const Options& options) {
  // Never destroyed: the threads of the stand-ins end with the process.
  Run& run = *new Run(options);
  run.is_loud = std::getenv("LOUD") != nullptr;
  Store& store = *new Store("127.0.0.1");
  store.Put("config", "main",
            Configuration(1, {"rondas"},
                          {{"/sheet/", "idempotent", "rondas",
                            kTimeoutMs / 1000.0, 0.5, 0, true}}));
  for (int i = 0; i < kServers; ++i)
    new Server(run, store, "i-" + std::to_string(i));
  Gateways gateways(options.folder, store.port(), 6, 2);
  gateways.Start(0);
  gateways.Start(1);
  if (!gateways.WaitReady(0, NowMs() + 15'000) ||
      !gateways.WaitReady(1, NowMs() + 15'000)) {
    run.record.Line("gateways did not start");
    return kCannotRun;
  }
  SleepMs(5000);
  const int64_t end = NowMs() + kLoadMs;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&run, &gateways, i, end] { SendReads(run, gateways, i, end); });
  }
  if (options.trouble)
    SendPoison(run, gateways, end);
  for (std::thread& it : clients)
    it.join();
  const std::lock_guard<std::mutex> lock(run.mutex);
  int late = 0;
  for (const Crash& it : run.crashes) {
    if (run.crashes.size() < 3 || it.at <= run.crashes[2].at + kStableWindowMs)
      continue;
    ++late;
    run.record.Line("LATE: the request crashed " + it.server + " " +
                    std::to_string(it.at - run.crashes[2].at) +
                    " ms after it had crashed the third");
  }
  run.record.Line("crashes " + std::to_string(run.crashes.size()) +
                  ", of them late " + std::to_string(late) +
                  " (the rule allows " + std::to_string(kMostLateRetries) +
                  "), other requests served " + std::to_string(run.served) +
                  ", lost at servers that crashed " +
                  std::to_string(run.lost_work));
  if (run.served < 100 || (options.trouble && run.crashes.empty()))
    return kCannotRun;
  return late > kMostLateRetries ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const int result = review::Main(review::ParseOptions(argc, argv));
  std::fflush(nullptr);
  std::_Exit(result);
}
