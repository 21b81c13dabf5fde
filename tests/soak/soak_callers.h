// The soak's callers: they send, keep connections until the end, leave early,
// and judge every answer.
#ifndef SOAK_SOAK_CALLERS_H_
#define SOAK_SOAK_CALLERS_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/soak.h"
#include "standins/platform_world.h"

namespace sassafras {

struct SoakRequest {
  std::string id;
  std::string path;
  std::string body;
  int host = 0;
  bool may_repeat = false;
  bool is_behind = false;  // Sent while another one waited before it.
  bool has_left = false;   // The caller left before the answer.
  bool is_cut = false;     // The connection ended without an answer.
  int status = 0;
  Time sent;
  Time done;
};

class SoakCallers {
 public:
  SoakCallers(PlatformWorld& world, std::mt19937_64& random)
      : world_(world), random_(random) {}

  // Sends one request to `host`, at times pipelined behind others.
  void Send(int host, const std::string& path);
  // Sends the request of `path` once more, alike but for its id.
  void SendAgain(int host, const std::string& path);
  // Takes what has arrived; what must not be goes to `violations`.
  void Take(std::vector<std::string>& violations);
  // The connections of a process that is gone must be new ones from now on.
  void ForgetHost(int host);

  const std::map<std::string, std::shared_ptr<SoakRequest>>& requests() const {
    return requests_;
  }

 private:
  struct Connection {
    std::unique_ptr<PlatformStandinCaller> caller;
    std::deque<std::shared_ptr<SoakRequest>> pending;
    int host = 0;
    size_t taken = 0;
    bool is_usable = true;
  };

  Connection& ConnectionTo(int host);
  void SendRequest(int host,
                   const std::string& path,
                   const std::string& object);
  void TakeAnswers(Connection& connection,
                   std::vector<std::string>& violations);
  void MaybeLeave(Connection& connection);

  PlatformWorld& world_;
  std::mt19937_64& random_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::map<std::string, std::shared_ptr<SoakRequest>> requests_;
  uint64_t next_id_ = 0;
};

}  // namespace sassafras

#endif  // SOAK_SOAK_CALLERS_H_
