// `make demo`: starts a small deployment on loopback, loads the sample sheet,
// sends a bounded load of the three priorities and prints what came back.

#include <curl/curl.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "load/load.h"
#include "standins/deployment.h"

namespace {

using sassafras::Deployment;
using sassafras::DeploymentConfig;
using sassafras::LoadKind;
using sassafras::LoadRow;

constexpr int kHeladerasNetwork = 64;
constexpr int kHakataNetwork = 65;

struct Scene {
  DeploymentConfig config;
  std::string sheet;
  std::vector<LoadKind> kinds;
};

LoadKind Kind(const std::string& name,
              const std::string& service,
              const std::string& method,
              const std::string& path,
              size_t body_bytes,
              bool with_key,
              double rate) {
  LoadKind kind;
  kind.name = name;
  kind.service = service;
  kind.method = method;
  kind.path = path;
  kind.body_bytes = body_bytes;
  kind.with_key = with_key;
  kind.requests_per_second = rate;
  return kind;
}

Scene Heladeras() {
  Scene scene;
  scene.config.settings_file = std::string(DATA_DIR) + "/heladeras.toml";
  scene.config.network = kHeladerasNetwork;
  scene.config.services = {{"rounds", 20, 3, 20}, {"uploads", 12, 3, 20}};
  scene.sheet = std::string(DATA_DIR) + "/sheets/heladeras.csv";
  scene.kinds = {
      Kind("urgent", "rounds", "POST", "/charges", 200, true, 100),
      Kind("normal", "uploads", "PUT", "/photos/1", 100000, false, 50),
      Kind("low", "uploads", "GET", "/archive/1", 0, false, 100)};
  return scene;
}

Scene Hakata() {
  Scene scene;
  scene.config.settings_file = std::string(DATA_DIR) + "/hakata.toml";
  scene.config.network = kHakataNetwork;
  scene.config.services = {{"booking", 16, 4, 20}, {"quotes", 12, 4, 20}};
  scene.sheet = std::string(DATA_DIR) + "/sheets/hakata.csv";
  scene.kinds = {
      Kind("urgent", "booking", "POST", "/reservations", 200, true, 100),
      Kind("normal", "quotes", "PUT", "/photos/1", 100000, false, 50),
      Kind("low", "booking", "GET", "/availability", 0, false, 100)};
  return scene;
}

int Fail(const char* what) {
  std::fprintf(stderr, "demo: %s\n", what);
  return 1;
}

void PrintProgress(const std::vector<LoadRow>& rows) {
  for (const LoadRow& it : rows)
    std::printf("  %s %lu/%lu", it.name.c_str(), it.answered, it.sent);
  std::printf("\n");
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  CLI::App app("A loopback deployment under load", "demo");
  std::string user = "heladeras";
  double factor = 1.0;
  int64_t seconds = 10;
  app.add_option("--user", user, "Whose sizes")
      ->check(CLI::IsMember({"heladeras", "hakata"}));
  app.add_option("--seconds", seconds)->check(CLI::Range(1, 300));
  app.add_option("--low-factor", factor, "Multiplies the low class's rate")
      ->check(CLI::Range(0.0, 100.0));
  CLI11_PARSE(app, argc, argv);
  Scene scene = user == "hakata" ? Hakata() : Heladeras();
  scene.config.binary = SASSAFRASDECK_BINARY;
  scene.config.standins = STANDINS_BINARY;
  scene.kinds.back().requests_per_second *= factor;

  Deployment deployment(scene.config);
  std::printf("Starting %zu hosts and %zu endpoints of %s.\n",
              deployment.hosts().size(), deployment.endpoints().size(),
              user.c_str());
  std::fflush(stdout);
  if (!deployment.Start())
    return Fail("the deployment did not start");
  if (!deployment.LoadSheet(scene.sheet))
    return Fail("the sheet was not loaded");
  std::printf("The sheet is in force on every host.\n");
  if (!deployment.WaitReady(std::chrono::seconds(30)))
    return Fail("the hosts did not get ready");
  std::printf("All hosts are ready. Sending load for %ld s.\n",
              static_cast<long>(seconds));
  std::fflush(stdout);
  sassafras::Loop loop;
  sassafras::LoadPlan plan;
  plan.entries = deployment.EntryAddresses();
  plan.kinds = scene.kinds;
  plan.duration = std::chrono::seconds(seconds);
  const auto rows = sassafras::RunLoad(loop, plan, &PrintProgress);
  std::printf("%s", sassafras::LoadTable(rows).c_str());
  int twice = 0;
  for (const auto& [key, count] : deployment.Runs())
    twice += key.find("load") != std::string::npos && count > 1 ? 1 : 0;
  std::printf("keys that ran more than once: %d\n", twice);
  return twice == 0 ? 0 : 1;
}
