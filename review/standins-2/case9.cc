// A server's entry in the store is overwritten with bytes that cannot be read,
// and removed some seconds later. The server still serves, as the pages say.
#include <cstdlib>

#include "world.h"

using namespace review;

namespace {

constexpr double kDrainS = 2.5;   // Bound drain-s of the settings.
constexpr double kServesS = 12;   // How long the server stays after its removal.
constexpr int kGateways = 3;

std::mutex g_mutex;
std::map<std::string, double> g_sent;  // Request ids, with the time of sending.
double g_removed = 0;                  // 0: not yet.
int g_late[kGateways + 1];
int g_served[3];

void Serve(Conn& conn, int server) {
  const std::string own = "i-" + std::to_string(server);
  conn.SetTimeout(30);
  Head head;
  while (conn.ReadHead(head)) {
    const std::string id = head.Field("Request-Id");
    if (head.Field("Target-Instance") != own) {
      conn.Write("HTTP/1.1 421 Misdirected\r\nRequest-Id: " + id +
                 "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(g_mutex);
      ++g_served[server];
      const double sent = g_sent[id];
      if (server == 1 && g_removed > 0 && sent > g_removed + kDrainS) {
        const int gateway = id[0] - '0';
        if (++g_late[gateway] <= 3)
          Note("server i-1: runs request %s of gateway %d, sent %.3f s after "
               "the removal of its entry (bound %.1f)",
               id.c_str(), gateway, sent - g_removed, kDrainS);
      }
    }
    Sleep(0.01);
    conn.Write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal-" +
               id + "\r\nServer-Load: 1,0,3\r\nKeep-Alive: timeout=10" +
               "\r\nContent-Length: 2\r\n\r\nok");
  }
}

// Sends requests to the gateway until `end`.
void SendUntil(const Addresses& at, int gateway, double end, int& answered) {
  static std::atomic<int> next{0};
  Conn conn(Conn::Connect(at.Ip(gateway), at.front()));
  conn.SetTimeout(8);
  while (Now() < end) {
    const std::string id =
        std::to_string(gateway) + "-" + std::to_string(++next);
    {
      const std::lock_guard<std::mutex> lock(g_mutex);
      g_sent[id] = Now();
    }
    conn.Write(RequestHead("GET", "/sheet/" + id, id, 3000) +
               "Cookie: Affinity-Key=" + id + "\r\n\r\n");
    const Answer it = ReadAnswer(conn);
    if (!it.complete) {
      Note("client: the connection to gateway %d ended", gateway);
      return;
    }
    answered += it.status == 200;
    Sleep(0.05);
  }
}

void SendFor(const Addresses& at, double seconds, const char* phase) {
  int answered[kGateways + 1] = {};
  int before[3];
  {
    const std::lock_guard<std::mutex> lock(g_mutex);
    std::copy(g_served, g_served + 3, before);
  }
  std::vector<std::thread> threads;
  for (int i = 1; i <= kGateways; ++i)
    threads.emplace_back(SendUntil, std::cref(at), i, Now() + seconds,
                         std::ref(answered[i]));
  for (std::thread& it : threads)
    it.join();
  const std::lock_guard<std::mutex> lock(g_mutex);
  Note("%s: answered 200 by gateways %d, %d, %d; run by i-1 %d, by i-2 %d",
       phase, answered[1], answered[2], answered[3], g_served[1] - before[1],
       g_served[2] - before[2]);
}

}  // namespace

int main(int, char** argv) {
  Begin(argv[1], 100);
  Note("trouble: %s", HasTrouble() ? "unreadable entry" : "none");
  const Addresses at = ChooseAddresses();
  Store store(at.Ip(kStoreIndex), at.store());
  Listener first(at.Ip(101), at.server(), [](Conn& it) { Serve(it, 1); });
  Listener second(at.Ip(102), at.server(), [](Conn& it) { Serve(it, 2); });
  const std::string port = ":" + std::to_string(at.server());
  store.Put("config", "main",
            Config(3, {{"/sheet/", "idempotent", "rondas", 3, 2,
                        ",\"sticky-session\":true"}}));
  store.Put("servers", "i-1", ServerEntry("rondas", at.Ip(101) + port, "z1-a"));
  store.Put("servers", "i-2", ServerEntry("rondas", at.Ip(102) + port, "z1-a"));
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(at, i));
    gateways.back()->Start();
  }
  for (const auto& it : gateways) {
    if (!it->WaitReady(10)) {
      Note("a gateway is not ready");
      Exit(kCannotRun);
    }
  }
  // Longer than stable-window-s, so that all machines are in touch.
  SendFor(at, 5, "both are ready");
  if (HasTrouble()) {
    store.Put("servers", "i-1",
              ServerEntry("rondas", at.Ip(101) + port, "z1-a", "ready",
                          ",\"note\":\"\xff\xfe\""));
    Note("store: entry i-1 is overwritten with bytes that cannot be read");
  }
  SendFor(at, 3, "after that");
  {
    const std::lock_guard<std::mutex> lock(g_mutex);
    store.Delete("servers", "i-1");
    g_removed = Now();
    Note("store: entry i-1 is removed; the server goes on for %.0f s",
         kServesS);
  }
  SendFor(at, kServesS, "after the removal");
  const int late = g_late[1] + g_late[2] + g_late[3];
  Note("requests sent more than %.1f s after the removal and run by i-1: %d "
       "(gateways: %d, %d, %d)",
       kDrainS, late, g_late[1], g_late[2], g_late[3]);
  Exit(late > 0 ? kBroken : kHeld);
}
