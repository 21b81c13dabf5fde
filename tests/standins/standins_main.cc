// Runs one stand-in as a process: the platform's store or an endpoint.

#include <curl/curl.h>
#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

#include "base/log.h"
#include "standins/standin_endpoint.h"
#include "standins/standin_store.h"

namespace {

sassafras::Address ParseAddress(const std::string& text) {
  return sassafras::Address::Parse(text).value_or(sassafras::Address{});
}

template <typename T>
int Run(sassafras::Loop& loop, sassafras::Result<std::unique_ptr<T>> started) {
  return sassafras::TryOr(
      [&]() -> sassafras::Result<int> {
        BOOST_LEAF_AUTO(standin, std::move(started));
        const auto stop = loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
        loop.Run();
        return 0;
      },
      [](const sassafras::Error& e) {
        std::cerr << e.ToString() << '\n';
        return 1;
      });
}

}  // namespace

int main(int argc, char** argv) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  sassafras::InitLog(sassafras::LogLevel::kWarning);
  CLI::App app("Stand-ins for tests and the demo", "standins");
  app.require_subcommand(1);
  std::string listen;
  sassafras::StandinEndpointConfig endpoint;
  int64_t work_ms = endpoint.work.count();
  int64_t cold_ms = 0;
  CLI::App* store = app.add_subcommand("store", "The platform's store");
  store->add_option("--listen", listen)->required();
  CLI::App* point = app.add_subcommand("endpoint", "An endpoint");
  point->add_option("--listen", listen)->required();
  point->add_option("--slots", endpoint.slots);
  point->add_option("--work-ms", work_ms);
  point->add_option("--cold-ms", cold_ms);
  CLI11_PARSE(app, argc, argv);
  sassafras::Loop loop;
  if (store->parsed())
    return Run(loop, sassafras::StartStandinStore(loop, ParseAddress(listen)));
  endpoint.listen = ParseAddress(listen);
  endpoint.work = std::chrono::milliseconds(work_ms);
  endpoint.cold = std::chrono::milliseconds(cold_ms);
  return Run(loop, sassafras::StartStandinEndpoint(loop, endpoint));
}
