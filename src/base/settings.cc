#include "base/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace sassafras {

namespace {

constexpr int kIpv4Bits = 32;

// Collects the errors of one file.
struct SettingsErrorList {
  std::string file;
  std::vector<SettingsError>* errors;

  void Add(const toml::source_region& at, std::string field, std::string why) {
    errors->push_back({file, static_cast<int>(at.begin.line),
                       static_cast<int>(at.begin.column), std::move(field),
                       std::move(why)});
  }
};

// Reads the fields of one table and records their keys, so that Finish() can
// report unknown ones.
class TableReader {
 public:
  TableReader(const toml::table& table,
              std::string path,
              SettingsErrorList& errors)
      : table_(table), path_(std::move(path)), errors_(errors) {}

  const toml::node* Find(std::string_view key, bool required) {
    known_.insert(std::string(key));
    const toml::node* node = table_.get(key);
    if (!node && required)
      errors_.Add(table_.source(), Name(key), "is missing");
    return node;
  }

  void Fail(std::string_view key, std::string why) {
    const toml::node* node = table_.get(key);
    errors_.Add(node ? node->source() : table_.source(), Name(key),
                std::move(why));
  }

  template <typename T>
  std::optional<T> Value(std::string_view key,
                         bool required,
                         const char* type) {
    const toml::node* node = Find(key, required);
    if (!node)
      return std::nullopt;
    auto value = node->value_exact<T>();
    if (!value)
      Fail(key, std::string("must be ") + type);
    return value;
  }

  std::string Text(std::string_view key, bool required = true) {
    const auto value = Value<std::string>(key, required, "a string");
    if (value && value->empty())
      Fail(key, "must not be empty");
    return value.value_or("");
  }

  void Flag(std::string_view key, bool& value) {
    value = Value<bool>(key, false, "true or false").value_or(value);
  }

  // An integer in [low, high]; `fallback` if the key is absent or its value is
  // invalid.
  int64_t Number(std::string_view key,
                 int64_t low,
                 int64_t high,
                 int64_t fallback) {
    const auto value = Value<int64_t>(key, false, "an integer");
    if (!value)
      return fallback;
    if (*value < low || *value > high) {
      Fail(key, "must be from " + std::to_string(low) + " to " +
                    std::to_string(high));
      return fallback;
    }
    return *value;
  }

  Address AddressOf(std::string_view key) {
    const std::string text = Text(key);
    if (text.empty())
      return {};
    const auto address = Address::Parse(text);
    if (!address)
      Fail(key, "must be an address such as 10.0.0.1:7000");
    return address.value_or(Address{});
  }

  template <typename Fn>
  void Table(std::string_view key, bool required, Fn&& fn) {
    const toml::node* node = Find(key, required);
    if (!node)
      return;
    if (!node->is_table()) {
      Fail(key, "must be a table");
      return;
    }
    TableReader reader(*node->as_table(), Name(key), errors_);
    fn(reader);
    reader.Finish();
  }

  // Calls `fn(reader)` for each table of an array of tables.
  template <typename Fn>
  void Tables(std::string_view key, bool required, Fn&& fn) {
    const toml::node* node = Find(key, required);
    if (!node)
      return;
    const toml::array* array = node->as_array();
    if (!array || array->empty()) {
      Fail(key, "must be an array of tables");
      return;
    }
    for (size_t n = 0; n < array->size(); ++n) {
      const toml::table* table = array->get(n)->as_table();
      const std::string name = Name(key) + "[" + std::to_string(n) + "]";
      if (!table) {
        errors_.Add(array->get(n)->source(), name, "must be a table");
        continue;
      }
      TableReader reader(*table, name, errors_);
      fn(reader);
      reader.Finish();
    }
  }

  // Calls `fn(text, node)` for each string of an array.
  template <typename Fn>
  void Texts(std::string_view key, bool required, Fn&& fn) {
    const toml::node* node = Find(key, required);
    if (!node)
      return;
    const toml::array* array = node->as_array();
    if (!array) {
      Fail(key, "must be an array of strings");
      return;
    }
    for (const toml::node& it : *array) {
      const auto text = it.value_exact<std::string>();
      if (text)
        fn(*text, it);
      else
        errors_.Add(it.source(), Name(key), "must contain only strings");
    }
  }

  void FailAt(const toml::node& node, std::string_view key, std::string why) {
    errors_.Add(node.source(), Name(key), std::move(why));
  }

  // Reports each key that was never read as unknown.
  void Finish() {
    for (const auto& [key, node] : table_) {
      if (known_.count(std::string(key.str())) == 0)
        errors_.Add(key.source(), Name(key.str()), "is not a known field");
    }
  }

 private:
  std::string Name(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }

  const toml::table& table_;
  std::string path_;
  SettingsErrorList& errors_;
  std::set<std::string> known_;
};

std::optional<RegionSettings::ClientBlock> ParseClientBlock(
    const std::string& text) {
  const size_t slash = text.find('/');
  if (slash == std::string::npos)
    return std::nullopt;
  const auto ip = ParseIpv4(text.substr(0, slash));
  const std::string bits = text.substr(slash + 1);
  const bool digits = !bits.empty() && bits.size() <= 2 &&
                      bits.find_first_not_of("0123456789") == std::string::npos;
  if (!ip || !digits)
    return std::nullopt;
  const int prefix = std::stoi(bits);
  if (prefix > kIpv4Bits)
    return std::nullopt;
  const uint32_t mask = prefix == 0 ? 0 : ~uint32_t{0} << (kIpv4Bits - prefix);
  if ((*ip & ~mask) != 0)
    return std::nullopt;
  return RegionSettings::ClientBlock{*ip, prefix};
}

void ReadRegion(TableReader& in, Settings& out) {
  RegionSettings region;
  region.name = RegionId(in.Text("name"));
  if (region.name.value().find('.') != std::string::npos)
    in.Fail("name", "must not contain a dot");
  in.Texts("zones", true, [&](const std::string& text, const toml::node&) {
    region.zones.emplace_back(text);
  });
  in.Texts("client_blocks", false,
           [&](const std::string& text, const toml::node& node) {
             const auto block = ParseClientBlock(text);
             if (block)
               region.client_blocks.push_back(*block);
             else
               in.FailAt(
                   node, "client_blocks",
                   "'" + text + "' is not a CIDR block such as 10.1.0.0/16");
           });
  out.regions.push_back(std::move(region));
}

RouteSettings ReadRoute(TableReader& in) {
  constexpr int64_t kMaxTimeoutMs = 600000;
  constexpr int64_t kMaxBodyBytes = int64_t{1} << 32;
  RouteSettings route;
  route.method = in.Text("method", false);
  route.path = in.Text("path");
  if (!route.path.empty() && route.path.front() != '/')
    in.Fail("path", "must begin with /");
  const std::string priority = in.Text("priority");
  if (const auto it = FromName<Priority>(priority))
    route.priority = *it;
  else if (!priority.empty())
    in.Fail("priority", "must be urgent, normal or low");
  in.Flag("idempotent", route.idempotent);
  route.timeout = std::chrono::milliseconds(
      in.Number("timeout_ms", 1, kMaxTimeoutMs, Millis(route.timeout)));
  route.max_body_bytes = static_cast<uint64_t>(
      in.Number("max_body_bytes", 0, kMaxBodyBytes, 1 << 20));
  return route;
}

void ReadService(TableReader& in, Settings& out) {
  ServiceSettings service;
  service.name = ServiceId(in.Text("name"));
  service.shed_header = in.Text("shed_header", false);
  in.Tables("routes", true, [&](TableReader& route) {
    service.routes.push_back(ReadRoute(route));
  });
  out.services.push_back(std::move(service));
}

void ReadSeed(TableReader& in, Settings& out) {
  SeedSettings seed;
  seed.host = HostId(in.Text("host"));
  seed.region = RegionId(in.Text("region"));
  seed.zone = ZoneId(in.Text("zone"));
  seed.caller_address = in.AddressOf("caller_address");
  seed.peer_address = in.AddressOf("peer_address");
  out.seeds.push_back(std::move(seed));
}

void ReadLimits(TableReader& in, LimitSettings& out) {
  constexpr int64_t kMaxConnections = 100000;
  constexpr int64_t kMaxBytes = int64_t{64} << 20;
  constexpr int64_t kMaxSeconds = 3600;
  out.max_connections = static_cast<uint64_t>(
      in.Number("max_connections", 1, kMaxConnections,
                static_cast<int64_t>(out.max_connections)));
  out.max_keyed_body_bytes = static_cast<uint64_t>(
      in.Number("max_keyed_body_bytes", 1, kMaxBytes,
                static_cast<int64_t>(out.max_keyed_body_bytes)));
  out.stream_buffer_bytes = static_cast<uint64_t>(
      in.Number("stream_buffer_bytes", 1 << 14, kMaxBytes,
                static_cast<int64_t>(out.stream_buffer_bytes)));
  out.idle_timeout = std::chrono::seconds(
      in.Number("idle_timeout_s", 1, kMaxSeconds, out.idle_timeout.count()));
  out.stop_timeout = std::chrono::seconds(
      in.Number("stop_timeout_s", 1, kMaxSeconds, out.stop_timeout.count()));
}

void ReadLedger(TableReader& in, LedgerSettings& out) {
  constexpr int64_t kMaxRecords = 10000000;
  constexpr int64_t kMaxBytes = int64_t{1} << 30;
  constexpr int64_t kMaxSeconds = 86400;
  out.max_records = static_cast<uint64_t>(in.Number(
      "max_records", 1, kMaxRecords, static_cast<int64_t>(out.max_records)));
  out.max_answer_bytes = static_cast<uint64_t>(
      in.Number("max_answer_bytes", 0, kMaxBytes,
                static_cast<int64_t>(out.max_answer_bytes)));
  out.max_answer_size = static_cast<uint64_t>(
      in.Number("max_answer_size", 0, kMaxBytes,
                static_cast<int64_t>(out.max_answer_size)));
  out.retention = std::chrono::seconds(
      in.Number("retention_s", 1, kMaxSeconds, out.retention.count()));
}

void ReadDeployment(TableReader& in, Settings& out) {
  out.deployment = in.Text("deployment");
  in.Table("store", true, [&](TableReader& store) {
    constexpr int64_t kMaxTimeoutMs = 60000;
    out.store = store.AddressOf("address");
    out.store_timeout = std::chrono::milliseconds(store.Number(
        "timeout_ms", 1, kMaxTimeoutMs, out.store_timeout.count()));
  });
  in.Table("peers", true, [&](TableReader& peers) {
    out.peer_key = peers.Text("key");
    if (peers.Find("seeds", false))
      peers.Tables("seeds", true,
                   [&](TableReader& seed) { ReadSeed(seed, out); });
  });
  in.Table("log", false, [&](TableReader& log) {
    const std::string level = log.Text("level");
    if (const auto it = FromName<LogLevel>(level))
      out.log_level = *it;
    else
      log.Fail("level", "must be debug, info, warning or error");
  });
  in.Table("limits", false,
           [&](TableReader& limits) { ReadLimits(limits, out.limits); });
  in.Table("ledger", false,
           [&](TableReader& ledger) { ReadLedger(ledger, out.ledger); });
  in.Tables("regions", true,
            [&](TableReader& region) { ReadRegion(region, out); });
  in.Tables("services", true,
            [&](TableReader& service) { ReadService(service, out); });
}

void ReadHost(TableReader& in, Settings& out) {
  HostSettings host;
  host.name = HostId(in.Text("name"));
  host.region = RegionId(in.Text("region"));
  host.zone = ZoneId(in.Text("zone"));
  const std::pair<const char*, Address*> addresses[] = {
      {"caller_address", &host.caller_address},
      {"peer_address", &host.peer_address},
      {"operator_address", &host.operator_address},
      {"control_peer_address", &host.control_peer_address},
      {"control_operator_address", &host.control_operator_address},
  };
  std::map<std::string, std::string> seen;
  for (const auto& [key, address] : addresses) {
    *address = in.AddressOf(key);
    if (address->port == 0)
      continue;
    const auto [it, added] = seen.emplace(address->ToString(), key);
    if (!added)
      in.Fail(key, "is the same address as " + it->second);
  }
  for (const RegionSettings& region : out.regions) {
    if (region.name != host.region)
      continue;
    const auto& zones = region.zones;
    if (std::find(zones.begin(), zones.end(), host.zone) == zones.end())
      in.Fail("zone", "is not a zone of region " + region.name.value());
    out.host = std::move(host);
    return;
  }
  in.Fail("region", "is not a region of the deployment");
}

void CheckNames(const Settings& settings,
                const toml::table& table,
                SettingsErrorList& errors) {
  std::set<std::string> seen;
  const auto check = [&](const std::string& field, const std::string& name) {
    if (!name.empty() && !seen.insert(field + "/" + name).second)
      errors.Add(table.source(), field,
                 "'" + name + "' is used more than once");
  };
  for (const RegionSettings& region : settings.regions) {
    check("regions.name", region.name.value());
    for (const ZoneId& zone : region.zones)
      check("regions.zones", zone.value());
  }
  for (const ServiceSettings& service : settings.services)
    check("services.name", service.name.value());
  for (const SeedSettings& seed : settings.seeds) {
    check("peers.seeds.host", seed.host.value());
    check("peers.seeds.address", seed.caller_address.ToString());
    check("peers.seeds.address", seed.peer_address.ToString());
  }
}

void ReadDeploymentTable(const toml::table& table,
                         SettingsErrorList& errors,
                         Settings& out) {
  TableReader reader(table, "", errors);
  ReadDeployment(reader, out);
  reader.Finish();
  CheckNames(out, table, errors);
}

void AddParseError(const toml::parse_error& e, SettingsErrorList& errors) {
  errors.Add(e.source(), "syntax", std::string(e.description()));
}

void ReadDeploymentFile(const std::string& path, SettingsReadResult& out) {
  SettingsErrorList errors{path, &out.errors};
  try {
    const toml::table table = toml::parse_file(path);
    ReadDeploymentTable(table, errors, out.settings);
  } catch (const toml::parse_error& e) {
    AddParseError(e, errors);
  }
}

void ReadHostTable(const toml::table& table,
                   const std::string& path,
                   SettingsErrorList& errors,
                   SettingsReadResult& out) {
  TableReader reader(table, "", errors);
  const std::string name = reader.Text("deployment_file");
  if (name.empty())
    return;
  const auto directory = std::filesystem::path(path).parent_path();
  ReadDeploymentFile((directory / name).lexically_normal().string(), out);
  reader.Table("host", true,
               [&](TableReader& host) { ReadHost(host, out.settings); });
  reader.Finish();
}

}  // namespace

std::string SettingsError::ToString() const {
  return file + ":" + std::to_string(line) + ":" + std::to_string(column) +
         ": " + field + ": " + reason;
}

SettingsReadResult ReadSettings(const std::string& path) {
  SettingsReadResult out;
  SettingsErrorList errors{path, &out.errors};
  try {
    const toml::table table = toml::parse_file(path);
    if (table.contains("deployment_file"))
      ReadHostTable(table, path, errors, out);
    else
      ReadDeploymentTable(table, errors, out.settings);
  } catch (const toml::parse_error& e) {
    AddParseError(e, errors);
  }
  return out;
}

SettingsReadResult ReadSettingsText(const std::string& text,
                                    const std::string& name) {
  SettingsReadResult out;
  SettingsErrorList errors{name, &out.errors};
  try {
    const toml::table table = toml::parse(text);
    ReadDeploymentTable(table, errors, out.settings);
  } catch (const toml::parse_error& e) {
    AddParseError(e, errors);
  }
  return out;
}

}  // namespace sassafras
