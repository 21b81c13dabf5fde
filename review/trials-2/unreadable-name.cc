// Not a case. An entry whose name is not UTF-8, and a look at the state of a
// gateway: the process ends. Build it with review/standins-2/world.cc.
#include "../standins-2/world.h"

using namespace review;

int main(int, char** argv) {
  Begin(argv[1], 60);
  const Addresses at = ChooseAddresses();
  Store store(at.Ip(kStoreIndex), at.store());
  const std::string port = ":" + std::to_string(at.server());
  store.Put("config", "main",
            Config(3, {{"/sheet/", "idempotent", "rondas", 3, 2, ""}}));
  store.Put("servers", HasTrouble() ? "i-\xff\xfe" : "i-2",
            ServerEntry("rondas", at.Ip(102) + port, "z1-a"));
  Gateway gateway(at, 1);
  gateway.Start();
  if (!gateway.WaitReady(10))
    Exit(kCannotRun);
  Sleep(1);
  const Answer it = Ask(
      gateway.ip(), at.control(),
      "GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  Note("GET /state is answered %d", it.status);
  Sleep(0.3);
  Exit(gateway.Runs() ? kHeld : kBroken);
}
