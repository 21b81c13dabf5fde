#include <cstdio>
#include "routing/store_cache.h"
using namespace sassafras;
using std::chrono::milliseconds;
// Not a case. Build it with -Isrc -I. and src/routing/store_cache.cc; with an argument, no
// other kind of object moves. One relay, one follower; pushes and follow messages arrive at once. The one push with
// the new version is lost. Endpoint records change every 300 ms, follow messages come every 400 ms.
int main(int argc, char**) {
  const bool moves = argc < 2;
  StoreCache relay = MakeStoreCache({"config", "servers"});
  StoreCache follower = MakeStoreCache({"config", "servers"});
  CacheFollowers followers;
  uint64_t revision = 10;
  Time now = Time() + std::chrono::seconds(100);
  auto put = [&](const char* kind, const char* name) {
    StoreObject o; o.kind = kind; o.name = name; o.revision = ++revision; o.value = "v" + std::to_string(revision);
    ApplyStoreChange(relay, kind, {{o}, false, revision});
  };
  put("config", "main"); put("servers", "i-1");
  auto follow = [&] { ApplyPush(follower, OnFollow(followers, relay, HostId("f"), PositionsOf(follower), Duration(0), now)); };
  follow(); follow();
  auto push = [&](bool lost) { for (auto& it : PushToAll(followers, relay, Duration(0), now)) if (!lost) ApplyPush(follower, it.push); };
  put("config", "main");
  const std::string wanted = relay.kinds["config"].objects["main"].value;
  push(true);  // Lost.
  for (int ms = 100; ms <= 20000; ms += 100) {
    now += milliseconds(100);
    if (moves && ms % 300 == 0) { put("servers", "i-1"); push(false); }
    if (ms % 400 == 0) follow();
    if (follower.kinds["config"].objects["main"].value == wanted) { std::printf("the follower has the version after %d ms\n", ms); return 0; }
  }
  std::printf("the follower has not got the version after 20 s\n");
}
