// Gateways are stopped in order while servers are at work on uploads whose
// bodies they read late.
#include <signal.h>

#include <cstdlib>

#include "world.h"

using namespace review;

namespace {

constexpr size_t kUploadBytes = 360'000;  // Largest upload of the small sites.
constexpr size_t kReadAtOnce = 20'000;
constexpr double kWorkS = 3.5;
constexpr int kDeadlineMs = 4000;  // Of uploads at rodantes-gslb.
constexpr double kGraceS = 6;      // Bound grace-s of the settings.
constexpr double kCalmS = 5;      // Longer than stable-window-s.
constexpr int kUploadsEach = 3;   // As many as a server has slots.
constexpr int kGateways = 2;

std::mutex g_mutex;
std::map<std::string, double> g_begun;
std::map<std::string, double> g_broken_off;
int g_served = 0;
int g_lost = 0;

// Runs each upload for kWorkS. With trouble, reads most of the body only then.
void Serve(Conn& conn, const std::string& own) {
  conn.SetTimeout(20);
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
      g_begun[id] = Now();
    }
    Note("server %s: is at work on %s, Deadline-Ms %s", own.c_str(), id.c_str(),
         head.Field("Deadline-Ms").c_str());
    std::string body =
        conn.ReadExact(HasTrouble() ? kReadAtOnce : kUploadBytes);
    Sleep(kWorkS);
    body += conn.ReadExact(kUploadBytes - body.size());
    if (body.size() < kUploadBytes) {
      const std::lock_guard<std::mutex> lock(g_mutex);
      g_broken_off[id] = Now();
      Note("server %s: the connection of %s ended after %zu bytes",
           own.c_str(), id.c_str(), body.size());
      return;
    }
    Note("server %s: answers %s", own.c_str(), id.c_str());
    conn.Write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal-" +
               id + "\r\nServer-Load: 1,0,3\r\nKeep-Alive: timeout=10" +
               "\r\nContent-Length: 2\r\n\r\nok");
  }
}

void SendUpload(const std::string& ip, int port, const std::string& id) {
  const double sent = Now();
  const Answer it =
      Ask(ip, port,
          RequestHead("POST", "/upload/" + id, id, kDeadlineMs) +
              "Content-Length: " + std::to_string(kUploadBytes) + "\r\n\r\n" +
              std::string(kUploadBytes, 'x'));
  const bool is_own = it.head.Field("Server-Seal").empty();
  const std::lock_guard<std::mutex> lock(g_mutex);
  const bool was_begun = g_begun.count(id) > 0;
  Note("client: %s is answered %d%s after %.3f s", id.c_str(), it.status,
       is_own ? " by the gateway" : "", Now() - sent);
  if (it.status == 200 && it.complete)
    ++g_served;
  else if (was_begun)
    ++g_lost;
}

}  // namespace

int main(int, char** argv) {
  Begin(argv[1], 100);
  Note("trouble: %s", HasTrouble() ? "bodies are read late" : "none");
  const Addresses at = ChooseAddresses();
  Store store(at.Ip(kStoreIndex), at.store());
  const std::string port = ":" + std::to_string(at.server());
  store.Put("config", "main",
            Config(3, {{"/upload/", "upload", "bitacora", 4, 1, ""}}));
  std::vector<std::unique_ptr<Listener>> servers;
  for (int i = 1; i <= 4; ++i) {
    const std::string id = "i-" + std::to_string(i);
    servers.push_back(std::make_unique<Listener>(
        at.Ip(100 + i), at.server(), [id](Conn& it) { Serve(it, id); }));
    store.Put("servers", id,
              ServerEntry("bitacora", at.Ip(100 + i) + port, "z1-a"));
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(at, i));
    gateways.back()->Start();
    if (!gateways.back()->WaitReady(10)) {
      Note("a gateway is not ready");
      Exit(kCannotRun);
    }
  }
  for (int i = 0; i < kGateways; ++i) {
    Sleep(kCalmS);
    Gateway& gateway = *gateways[static_cast<size_t>(i)];
    std::vector<std::thread> clients;
    for (int k = 1; k <= kUploadsEach; ++k)
      clients.emplace_back(
          SendUpload, gateway.ip(), at.front(),
          "u" + std::to_string(i + 1) + "-" + std::to_string(k));
    Sleep(0.3);
    Note("platform: SIGTERM to gateway %d, grace %.0f s", gateway.index(),
         kGraceS);
    gateway.Signal(SIGTERM);
    const double end = Now() + kGraceS;
    for (std::thread& it : clients)
      it.join();
    while (gateway.Runs() && Now() < end)
      Sleep(0.02);
    if (gateway.Runs())
      gateway.Signal(SIGKILL);
  }
  Note("uploads served: %d of %d; broken off while their server was at work: %d",
       g_served, kGateways * kUploadsEach, g_lost);
  Exit(g_lost > 0 ? kBroken : kHeld);
}
