// A small deployment of loopback processes for tests and the demo: the
// stand-in store, stand-in endpoints, and entry and control processes of the
// shipped binary. Ends every process that it started.
#ifndef STANDINS_DEPLOYMENT_H_
#define STANDINS_DEPLOYMENT_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/ids.h"
#include "base/settings.h"

namespace sassafras {

struct DeploymentConfig {
  std::string binary;         // sassafrasdeck
  std::string standins;       // The stand-ins' binary.
  std::string settings_file;  // A deployment's file under data/.
  int network = 64;           // Addresses are 127.NETWORK.x.y.
  size_t hosts_per_zone = 3;
  size_t zones = 6;  // Of the settings, counted from the first.
  struct ServicePart {
    std::string service;
    size_t endpoints = 6;  // Spread over the zones.
    int slots = 3;
    int work_ms = 20;
  };
  std::vector<ServicePart> services;
  bool quiet = true;  // Processes write their logs to files of the folder.
};

struct HttpReply {
  long status = 0;  // Zero without an answer.
  std::string body;
};

// One blocking HTTP request.
HttpReply Fetch(const std::string& method,
                const std::string& url,
                const std::string& body = "",
                const std::vector<std::string>& headers = {},
                long timeout_ms = 5000);

class Deployment {
 public:
  struct HostProcesses {
    HostSettings settings;
    std::string file;
    pid_t entry = 0;
    pid_t control = 0;
  };
  struct EndpointProcess {
    EndpointId id;
    std::string service;
    ZoneId zone;
    Address address;
    int slots = 0;
    int work_ms = 0;
    pid_t pid = 0;
  };

  explicit Deployment(DeploymentConfig config);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts everything and publishes the platform's lists.
  bool Start();
  void StartStore();
  void StartHost(HostProcesses& host);
  void StartEndpoint(EndpointProcess& endpoint);
  // Writes the platform's lists to the store.
  bool PublishLists();

  // Runs the shipped binary with `arguments` and waits. Returns its exit code.
  int RunCommand(const std::vector<std::string>& arguments);
  // Loads a sheet and waits until it is in force everywhere.
  bool LoadSheet(const std::string& file);
  // Waits until every entry host answers look-ups.
  bool WaitReady(std::chrono::seconds time);

  // Ends a process that was started here.
  static void Signal(pid_t pid, int signal);
  // Waits for a process's end; false after `time`.
  static bool WaitEnd(pid_t pid, std::chrono::seconds time);

  std::string StoreUrl() const { return "http://" + store_.ToString(); }
  std::vector<HostProcesses>& hosts() { return hosts_; }
  std::vector<EndpointProcess>& endpoints() { return endpoints_; }
  std::vector<Address> EntryAddresses() const;
  const std::string& settings_file() const { return settings_file_; }
  const Settings& settings() const { return settings_; }
  pid_t store_pid() const { return store_pid_; }
  // Sum of runs over all endpoints, by key.
  std::map<std::string, int> Runs();

 private:
  pid_t Spawn(const std::vector<std::string>& command, const std::string& log);
  void LayOut();
  std::string WriteHostFile(const HostSettings& host);

  DeploymentConfig config_;
  std::string folder_;
  std::string settings_file_;
  Settings settings_;
  Address store_;
  pid_t store_pid_ = 0;
  std::vector<HostProcesses> hosts_;
  std::vector<EndpointProcess> endpoints_;
  std::vector<pid_t> started_;
};

// Calls `done` until it holds; false after `time`.
bool WaitUntil(std::chrono::milliseconds time,
               const std::function<bool()>& done);

}  // namespace sassafras

#endif  // STANDINS_DEPLOYMENT_H_
