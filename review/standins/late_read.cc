// A planned stop of one host. Clients that hold an older answer of the
// directory send it reads until the middle of the grace; a few of these reads
// are for objects that no server has handled recently. Checks that no read that
// was sent late, passed on and is at work at a server is broken off.
#include <csignal>
#include <cstdio>
#include <deque>
#include <set>

#include "standins.h"

namespace review {
namespace {

constexpr char kServerIp[] = "127.0.0.32";
constexpr int kServers = 4;
constexpr int kSlots = 3;
constexpr int64_t kKnownObjectMs = 768;   // 2,560 ms less the gain of 0.7.
constexpr int64_t kOtherObjectMs = 2560;  // Mean work of an archive read.
constexpr size_t kKeptObjects = 50;       // That a server handles faster.
constexpr double kGraceS = 6;
constexpr int64_t kTimeoutMs = 6000;  // Of the route.
constexpr int64_t kDeadlineMs = 12'000;
constexpr int kClientsPerHost = 4;
constexpr int kPopularObjects = 8;
constexpr int64_t kStopAtMs = 24'000;
// Reads of other objects, from the start of the load.
constexpr int64_t kOtherReadsMs[] = {12'000, 27'100, 27'250, 27'400, 27'550};
// Some clients keep a directory answer for three times its 1.5 s.
constexpr int64_t kLastUseOfDirectoryMs = 4500;
constexpr int64_t kLateMs = 3000;  // Of the rule: sent later after SIGTERM.

struct Request {
  int host = 0;
  int64_t sent = 0;
  std::string object;
  int64_t run = -1;      // When a server began to work on it.
  int64_t run_end = -1;  // When the server finished it or noticed the cut.
  bool run_whole = false;
  int64_t ended = -1;  // When the client got an answer or the connection ended.
  int status = 0;      // Zero: no complete answer.
  bool has_seal = false;
};

struct Run {
  explicit Run(const Options& options)
      : options(options), record(options.record) {}

  Options options;
  Record record;
  std::mutex mutex;
  std::map<std::string, Request> requests;
  std::atomic<int64_t> stopped{-1};  // When SIGTERM was sent.
  int64_t started = 0;               // Of the load.
};

// One server: slots, and the objects that it has handled recently.
struct Server {
  std::string name;
  std::mutex mutex;
  std::condition_variable slot_free;
  int running = 0;
  int waiting = 0;
  std::deque<std::string> kept;

  int64_t WorkMs(const std::string& object) {
    for (const std::string& it : kept) {
      if (it == object)
        return kKnownObjectMs;
    }
    kept.push_back(object);
    if (kept.size() > kKeptObjects)
      kept.pop_front();
    return kOtherObjectMs;
  }
};

std::string ObjectOf(const Head& head) {
  const std::string cookie = head.Get("Cookie");
  return cookie.substr(cookie.find('=') + 1);
}

void ServeConnection(Run& run, Server& server, Conn& conn) {
  while (const auto head = conn.ReadHead(NowMs() + 10'000)) {
    const std::string id = head->Get("Request-Id");
    if (head->Get("Target-Instance") != server.name) {
      conn.Write("HTTP/1.1 421 X\r\nRequest-Id: " + id +
                 "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    int64_t work = 0;
    {
      std::unique_lock<std::mutex> lock(server.mutex);
      ++server.waiting;
      server.slot_free.wait(lock, [&] { return server.running < kSlots; });
      --server.waiting;
      ++server.running;
      work = server.WorkMs(ObjectOf(*head));
    }
    {
      const std::lock_guard<std::mutex> lock(run.mutex);
      run.requests[id].run = NowMs();
    }
    run.record.Line(server.name + " runs " + id + " for " +
                    std::to_string(work) + " ms");
    const bool is_cut = conn.WaitClosed(NowMs() + work);
    std::string load;
    {
      const std::lock_guard<std::mutex> lock(server.mutex);
      --server.running;
      load = std::to_string(server.running) + "," +
             std::to_string(server.waiting) + "," + std::to_string(kSlots);
      server.slot_free.notify_one();
    }
    {
      const std::lock_guard<std::mutex> lock(run.mutex);
      run.requests[id].run_end = NowMs();
      run.requests[id].run_whole = !is_cut;
    }
    if (is_cut) {
      run.record.Line(server.name + " sees the connection of " + id +
                      " closed while it works on it");
      return;
    }
    if (!conn.Write(ServerAnswer(id, 200, "Server-Load: " + load + "\r\n",
                                 "archive " + id)))
      return;
  }
}

// Sends one read and waits for its answer; returns whether it was served.
// Leaves `conn` null if the connection cannot be used again.
bool Read(Run& run,
          Gateways& gateways,
          int host,
          const std::string& id,
          const std::string& object,
          std::unique_ptr<Conn>& conn) {
  if (!conn)
    conn = Conn::Open(gateways.ip(host), gateways.front_port());
  if (!conn) {
    SleepMs(50);
    return false;
  }
  {
    const std::lock_guard<std::mutex> lock(run.mutex);
    Request& it = run.requests[id];
    it.host = host;
    it.object = object;
    it.sent = NowMs();
  }
  const int64_t stopped = run.stopped;
  run.record.Line(
      "client sends " + id + " (object " + object + ") to front-" +
      std::to_string(host) +
      (stopped < 0 || host != 0
           ? ""
           : ", " + std::to_string(NowMs() - stopped) + " ms after SIGTERM"));
  conn->Write("GET /archive/" + object +
              " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
              "\r\nCookie: Affinity-Key=" + object +
              "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n\r\n");
  const auto head = conn->ReadHead(NowMs() + kDeadlineMs);
  std::string body;
  const bool whole = head && conn->ReadBody(*head, body, NowMs() + 2000);
  {
    const std::lock_guard<std::mutex> lock(run.mutex);
    Request& it = run.requests[id];
    it.ended = NowMs();
    it.status = whole ? head->Status() : 0;
    it.has_seal = whole && !head->Get("Server-Seal").empty();
  }
  run.record.Line(
      "client got for " + id + ": " +
      (whole ? head->start +
                   (head->Get("Server-Seal").empty() ? ", no seal" : ", sealed")
             : "no complete answer"));
  if (!whole || head->Get("Connection") == "close")
    conn.reset();
  return whole && head->Status() == 200;
}

// Whether clients may still use the host by an older answer of the directory.
bool MayUse(const Run& run, int host) {
  const int64_t stopped = run.stopped;
  return host != 0 || stopped < 0 || NowMs() - stopped < kLastUseOfDirectoryMs;
}

void SendPopular(Run& run,
                 Gateways& gateways,
                 int host,
                 int client,
                 int64_t until) {
  std::unique_ptr<Conn> conn;
  for (int n = 0; NowMs() < until && MayUse(run, host); ++n) {
    const std::string id = "p" + std::to_string(host) + "-" +
                           std::to_string(client) + "-" + std::to_string(n);
    const bool is_served = Read(
        run, gateways, host, id,
        "popular-" + std::to_string((n + 2 * client) % kPopularObjects), conn);
    // Clients leave out an address that has failed them.
    if (!is_served && run.stopped >= 0)
      return;
    SleepMs(30);
  }
}

// Whether the rule forbids how the request ended.
bool IsBrokenOff(const Request& it, int64_t stopped) {
  const bool is_late = it.host == 0 && stopped >= 0 &&
                       it.sent - stopped > kLateMs && it.run >= 0;
  const bool had_time = it.ended - it.sent < kTimeoutMs - 200;
  const bool is_own_end = it.status == 0 || !it.has_seal;
  const bool was_at_work = !it.run_whole || it.run_end > it.ended;
  return is_late && had_time && is_own_end && was_at_work;
}

int Main(const Options& options) {
  // Never destroyed: the threads of the stand-ins end with the process.
  Run& run = *new Run(options);
  Store& store = *new Store("127.0.0.1");
  store.Put("config", "main",
            Configuration(1, {"bitacora"},
                          {{"/archive/", "idempotent", "bitacora",
                            kTimeoutMs / 1000.0, 3.0, 2, true}}));
  for (int i = 0; i < kServers; ++i) {
    Server& server = *new Server;
    server.name = "i-" + std::to_string(i);
    const auto* listener = new Listener(
        kServerIp, 0,
        [&run, &server](Conn& conn) { ServeConnection(run, server, conn); });
    store.Put(
        "servers", server.name,
        ServerEntry("bitacora", kServerIp, listener->port(), "cuyo-a", kSlots));
  }
  Gateways gateways(options.folder, store.port(), kGraceS, 2);
  gateways.Start(0);
  gateways.Start(1);
  if (!gateways.WaitReady(0, NowMs() + 15'000) ||
      !gateways.WaitReady(1, NowMs() + 15'000)) {
    run.record.Line("gateways did not start");
    return kCannotRun;
  }
  SleepMs(4000);
  run.started = NowMs();
  const int64_t end = run.started + kStopAtMs + 7000;
  std::vector<std::thread> clients;
  for (int host = 0; host < 2; ++host) {
    for (int i = 0; i < kClientsPerHost; ++i) {
      clients.emplace_back([&run, &gateways, host, i, end] {
        SendPopular(run, gateways, host, i, end);
      });
    }
  }
  for (size_t i = 0; i < std::size(kOtherReadsMs); ++i) {
    clients.emplace_back([&run, &gateways, i] {
      SleepMs(run.started + kOtherReadsMs[i] - NowMs());
      std::unique_ptr<Conn> conn;
      const std::string name = "other-" + std::to_string(i);
      Read(run, gateways, 0, name, name, conn);
    });
  }
  SleepMs(run.started + kStopAtMs - NowMs());
  if (options.trouble) {
    run.stopped = NowMs();
    gateways.Signal(0, SIGTERM);
    run.record.Line("SIGTERM to front-0");
  }
  for (std::thread& it : clients)
    it.join();
  SleepMs(1000);
  const std::lock_guard<std::mutex> lock(run.mutex);
  int late = 0;
  int broken = 0;
  int answered = 0;
  for (const auto& [id, it] : run.requests) {
    answered += it.status == 200 ? 1 : 0;
    if (run.stopped >= 0 && it.host == 0 && it.sent - run.stopped > kLateMs)
      ++late;
    if (!IsBrokenOff(it, run.stopped))
      continue;
    ++broken;
    run.record.Line("BROKEN: " + id + " was sent " +
                    std::to_string(it.sent - run.stopped) +
                    " ms after SIGTERM, was at work at a server " +
                    std::to_string(it.run - run.stopped) + " to " +
                    std::to_string(it.run_end - run.stopped) +
                    " ms after it, and ended for its client after " +
                    std::to_string(it.ended - run.stopped) + " ms with " +
                    (it.status ? std::to_string(it.status) + " of the host"
                               : std::string("no answer")));
  }
  run.record.Line("requests " + std::to_string(run.requests.size()) +
                  ", answered 200 " + std::to_string(answered) +
                  ", sent late in the stop " + std::to_string(late) +
                  ", broken off " + std::to_string(broken));
  if (answered < 50 || (options.trouble && late == 0))
    return kCannotRun;
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const int result = review::Main(review::ParseOptions(argc, argv));
  std::fflush(nullptr);
  std::_Exit(result);
}
