#include "standins/deployment.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace sassafras {

namespace {

using Json = nlohmann::json;

constexpr uint16_t kCallerPort = 7000;
constexpr uint16_t kPeerPort = 7100;
constexpr uint16_t kOperatorPort = 7200;
constexpr uint16_t kControlPeerPort = 7300;
constexpr uint16_t kControlOperatorPort = 7400;
constexpr uint16_t kEndpointPort = 8000;
constexpr auto kPollPause = std::chrono::milliseconds(20);

size_t Append(char* data, size_t size, size_t count, void* self) {
  static_cast<std::string*>(self)->append(data, size * count);
  return size * count;
}

std::string ReadText(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

// The settings' addresses, moved to another loopback network.
std::string MoveNetwork(std::string text, int network) {
  const std::string wanted = "\"127." + std::to_string(network) + ".";
  for (const char* used : {"\"127.64.", "\"127.65."}) {
    for (size_t at = text.find(used); at != std::string::npos;
         at = text.find(used, at + 1)) {
      text.replace(at, std::strlen(used), wanted);
    }
  }
  return text;
}

bool PutObject(const std::string& store_url,
               const std::string& kind,
               const std::string& name,
               const Json& spec) {
  const std::string url = store_url + "/v1/objects/" + kind + "/" + name;
  const HttpReply present = Fetch("GET", url);
  std::string revision = "0";
  if (present.status == 200) {
    revision = Json::parse(present.body)["metadata"]["resourceVersion"]
                   .get<std::string>();
  }
  const Json body = {
      {"kind", kind},
      {"metadata", {{"name", name}, {"resourceVersion", revision}}},
      {"spec", spec}};
  return Fetch("PUT", url, body.dump()).status == 200;
}

}  // namespace

HttpReply Fetch(const std::string& method,
                const std::string& url,
                const std::string& body,
                const std::vector<std::string>& headers,
                long timeout_ms) {
  HttpReply reply;
  CURL* easy = curl_easy_init();
  curl_slist* list = nullptr;
  for (const std::string& it : headers)
    list = curl_slist_append(list, it.c_str());
  list = curl_slist_append(list, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  if (!body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
  }
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reply.body);
  if (curl_easy_perform(easy) == CURLE_OK)
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply.status);
  curl_slist_free_all(list);
  curl_easy_cleanup(easy);
  return reply;
}

bool WaitUntil(std::chrono::milliseconds time,
               const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end)
      return false;
    std::this_thread::sleep_for(kPollPause);
  }
  return true;
}

Deployment::Deployment(DeploymentConfig config) : config_(std::move(config)) {
  std::string name =
      (std::filesystem::temp_directory_path() / "sassafrasdeck-XXXXXX")
          .string();
  folder_ = mkdtemp(name.data());
  settings_file_ = folder_ + "/deployment.toml";
  std::ofstream(settings_file_)
      << MoveNetwork(ReadText(config_.settings_file), config_.network);
  settings_ = ReadSettings(settings_file_).settings;
  store_ = settings_.store;
  LayOut();
}

Deployment::~Deployment() {
  for (const pid_t pid : started_) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
  }
  for (const pid_t pid : started_)
    waitpid(pid, nullptr, 0);
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

void Deployment::LayOut() {
  const std::string net = "127." + std::to_string(config_.network) + ".";
  std::vector<std::pair<RegionId, ZoneId>> zones;
  for (const RegionSettings& region : settings_.regions) {
    for (const ZoneId& zone : region.zones)
      zones.emplace_back(region.name, zone);
  }
  zones.resize(std::min(zones.size(), config_.zones));
  int next_host = 1;
  for (const auto& [region, zone] : zones) {
    for (size_t n = 1; n <= config_.hosts_per_zone; ++n) {
      HostProcesses host;
      const std::string ip = net + "1." + std::to_string(next_host++);
      host.settings.name = HostId(zone.value() + "-" + std::to_string(n));
      host.settings.region = region;
      host.settings.zone = zone;
      host.settings.caller_address = {ip, kCallerPort};
      host.settings.peer_address = {ip, kPeerPort};
      host.settings.operator_address = {ip, kOperatorPort};
      host.settings.control_peer_address = {ip, kControlPeerPort};
      host.settings.control_operator_address = {ip, kControlOperatorPort};
      host.file = WriteHostFile(host.settings);
      hosts_.push_back(std::move(host));
    }
  }
  int next_endpoint = 1;
  for (const auto& part : config_.services) {
    for (size_t n = 0; n < part.endpoints; ++n) {
      EndpointProcess it;
      it.id = EndpointId(part.service + "-" + std::to_string(n + 1));
      it.service = part.service;
      it.zone = zones[n % zones.size()].second;
      it.address = {net + "2." + std::to_string(next_endpoint++),
                    kEndpointPort};
      it.slots = part.slots;
      it.work_ms = part.work_ms;
      endpoints_.push_back(std::move(it));
    }
  }
}

std::string Deployment::WriteHostFile(const HostSettings& host) {
  std::string path = folder_ + "/" + host.name.value() + ".toml";
  std::ofstream out(path);
  out << "deployment_file = \"deployment.toml\"\n\n[host]\n"
      << "name = \"" << host.name << "\"\n"
      << "region = \"" << host.region << "\"\n"
      << "zone = \"" << host.zone << "\"\n";
  const std::pair<const char*, const Address*> addresses[] = {
      {"caller_address", &host.caller_address},
      {"peer_address", &host.peer_address},
      {"operator_address", &host.operator_address},
      {"control_peer_address", &host.control_peer_address},
      {"control_operator_address", &host.control_operator_address}};
  for (const auto& [key, address] : addresses)
    out << key << " = \"" << address->ToString() << "\"\n";
  return path;
}

pid_t Deployment::Spawn(const std::vector<std::string>& command,
                        const std::string& log) {
  std::vector<char*> argv;
  argv.reserve(command.size() + 1);
  for (const std::string& it : command)
    argv.push_back(const_cast<char*>(it.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string path = config_.quiet ? folder_ + "/" + log : "/dev/stderr";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  if (posix_spawn(&pid, command[0].c_str(), &actions, nullptr, argv.data(),
                  environ) != 0) {
    pid = 0;
  }
  posix_spawn_file_actions_destroy(&actions);
  if (pid > 0)
    started_.push_back(pid);
  return pid;
}

void Deployment::StartStore() {
  store_pid_ = Spawn({config_.standins, "store", "--listen", store_.ToString()},
                     "store.log");
}

void Deployment::StartEndpoint(EndpointProcess& endpoint) {
  endpoint.pid = Spawn(
      {config_.standins, "endpoint", "--listen", endpoint.address.ToString(),
       "--slots", std::to_string(endpoint.slots), "--work-ms",
       std::to_string(endpoint.work_ms)},
      endpoint.id.value() + ".log");
}

void Deployment::StartHost(HostProcesses& host) {
  const std::string name = host.settings.name.value();
  host.entry = Spawn({config_.binary, "entry", "--settings", host.file},
                     name + ".entry.log");
  host.control = Spawn({config_.binary, "control", "--settings", host.file},
                       name + ".control.log");
}

bool Deployment::PublishLists() {
  Json hosts = Json::array();
  for (const HostProcesses& it : hosts_) {
    hosts.push_back({{"id", it.settings.name.value()},
                     {"region", it.settings.region.value()},
                     {"zone", it.settings.zone.value()},
                     {"caller_address", it.settings.caller_address.ToString()},
                     {"peer_address", it.settings.peer_address.ToString()},
                     {"leaving", false}});
  }
  if (!PutObject(StoreUrl(), "hosts", "current", {{"hosts", hosts}}))
    return false;
  std::map<std::string, Json> by_service;
  for (const EndpointProcess& it : endpoints_) {
    by_service[it.service].push_back({{"id", it.id.value()},
                                      {"zone", it.zone.value()},
                                      {"address", it.address.ToString()},
                                      {"slots", it.slots},
                                      {"leaving", false}});
  }
  for (const auto& [service, endpoints] : by_service) {
    if (!PutObject(StoreUrl(), "endpoints", service,
                   {{"service", service}, {"endpoints", endpoints}})) {
      return false;
    }
  }
  return true;
}

bool Deployment::Start() {
  StartStore();
  for (EndpointProcess& it : endpoints_)
    StartEndpoint(it);
  const bool store_up = WaitUntil(std::chrono::seconds(10), [&] {
    return Fetch("GET", StoreUrl() + "/control").status == 200;
  });
  if (!store_up || !PublishLists())
    return false;
  for (HostProcesses& it : hosts_)
    StartHost(it);
  return true;
}

int Deployment::RunCommand(const std::vector<std::string>& arguments) {
  std::vector<std::string> command = {config_.binary};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const pid_t pid = Spawn(command, "commands.log");
  if (pid <= 0)
    return -1;
  int status = 0;
  waitpid(pid, &status, 0);
  started_.erase(std::find(started_.begin(), started_.end(), pid));
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool Deployment::LoadSheet(const std::string& file) {
  return RunCommand({"sheet", "load", file, "--settings", settings_file_,
                     "--operator", "test", "--wait", "--wait-seconds", "20"}) ==
         0;
}

bool Deployment::WaitReady(std::chrono::seconds time) {
  return WaitUntil(time, [&] {
    return std::all_of(hosts_.begin(), hosts_.end(), [&](const auto& it) {
      const std::string service = settings_.services.front().name.value();
      return Fetch("GET", "http://" + it.settings.caller_address.ToString() +
                              "/v1/lookup?service=" + service +
                              "&client=10.1.0.1")
                 .status == 200;
    });
  });
}

void Deployment::Signal(pid_t pid, int signal) {
  if (pid > 0)
    kill(pid, signal);
}

bool Deployment::WaitEnd(pid_t pid, std::chrono::seconds time) {
  return WaitUntil(time, [&] {
    siginfo_t info{};
    // The process is left to be reaped by the destructor.
    return waitid(P_PID, static_cast<id_t>(pid), &info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == pid;
  });
}

std::vector<Address> Deployment::EntryAddresses() const {
  std::vector<Address> out;
  for (const HostProcesses& it : hosts_)
    out.push_back(it.settings.caller_address);
  return out;
}

std::map<std::string, int> Deployment::Runs() {
  std::map<std::string, int> out;
  for (const EndpointProcess& it : endpoints_) {
    const HttpReply reply =
        Fetch("GET", "http://" + it.address.ToString() + "/standin/runs");
    const Json json = Json::parse(reply.body, nullptr, false);
    if (!json.is_object())
      continue;
    for (const auto& [key, count] : json.items())
      out[key] += count.get<int>();
  }
  return out;
}

}  // namespace sassafras
