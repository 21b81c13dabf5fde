#include "decisions/sheet.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <utility>

namespace sassafras {

namespace {

constexpr double kPercent = 100.0;
constexpr double kSumTolerance = 0.0005;  // 0.05 percentage points.
constexpr double kBitsPerGigabit = 1e9;
// Maximum sum of the least shares of all classes of a service; the rest is left
// for urgent work.
constexpr double kMaxSumOfLeastShares = 0.9;

struct CellError {
  SheetColumn column = SheetColumn::kKind;
  std::string reason;
};

// Reads the cells of one row and records the first error.
class RowReader {
 public:
  explicit RowReader(const SheetRow& row) : row_(row) {}

  const std::optional<CellError>& error() const { return error_; }
  bool ok() const { return !error_.has_value(); }

  void Fail(SheetColumn column, std::string reason) {
    if (!error_)
      error_ = CellError{column, std::move(reason)};
  }

  std::string Text(SheetColumn column) {
    used_.insert(column);
    const auto it = row_.cells.find(column);
    if (it != row_.cells.end())
      return it->second;
    Fail(column, "is missing");
    return "";
  }

  bool Has(SheetColumn column) const { return row_.cells.count(column) > 0; }

  // Reads a number within [low, high], with a decimal point or comma.
  double Number(SheetColumn column, double low, double high) {
    std::string text = Text(column);
    if (!ok())
      return 0;
    std::replace(text.begin(), text.end(), ',', '.');
    double value = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() ||
        !std::isfinite(value)) {
      Fail(column, "'" + text + "' is not a number");
      return 0;
    }
    if (value < low || value > high) {
      Fail(column, "'" + text + "' is out of range");
      return 0;
    }
    return value;
  }

  // Fails the row if a cell that was not read is not empty.
  void ExpectNoOtherCells() {
    for (const auto& [column, text] : row_.cells) {
      if (column != SheetColumn::kKind && used_.count(column) == 0)
        Fail(column, "is not used in a row of this kind");
    }
  }

 private:
  const SheetRow& row_;
  std::set<SheetColumn> used_;
  std::optional<CellError> error_;
};

struct ShareRow {
  int line = 0;
  ZoneId zone;
  double share = 0;
};

struct PriorityRow {
  int line = 0;
  Priority priority = Priority::kLow;
  PriorityIntent intent;
};

// Rows of one service that are accepted or refused together.
struct ServiceRows {
  std::vector<ShareRow> shares;
  std::vector<PriorityRow> priorities;
  std::vector<int> share_lines;
  std::vector<int> priority_lines;
  bool has_share_error = false;
  bool has_priority_error = false;
};

struct SheetValidator {
  const Topology& topology;
  SheetReading reading;
  std::map<ServiceId, ServiceRows> services;
  std::map<int, RowVerdict> verdicts;  // By line.
  std::set<std::string> seen;          // Settings declared so far.

  void SetVerdict(int line, const std::optional<CellError>& error) {
    RowVerdict verdict;
    verdict.line = line;
    verdict.accepted = !error;
    if (error) {
      verdict.field = std::string(NameOf(error->column));
      verdict.reason = error->reason;
    }
    verdicts[line] = std::move(verdict);
  }

  // Refuses accepted rows because of an error in their group.
  void RefuseGroup(const std::vector<int>& lines,
                   SheetColumn column,
                   const std::string& reason) {
    for (const int line : lines) {
      if (verdicts[line].accepted)
        SetVerdict(line, CellError{column, reason});
    }
  }

  // Fails the row if an earlier row declared the same setting.
  void ExpectUnique(RowReader& row, SheetColumn column, std::string what) {
    if (row.ok() && !seen.insert(std::move(what)).second)
      row.Fail(column, "is declared twice");
  }
};

ServiceId ReadService(RowReader& row, const Topology& topology) {
  ServiceId service(row.Text(SheetColumn::kService));
  if (row.ok() && topology.services.count(service) == 0)
    row.Fail(SheetColumn::kService,
             "'" + service.value() + "' is not a service of the settings");
  return service;
}

RegionId ReadRegion(RowReader& row,
                    const Topology& topology,
                    SheetColumn column) {
  RegionId region(row.Text(column));
  const auto& regions = topology.regions;
  if (row.ok() &&
      std::find(regions.begin(), regions.end(), region) == regions.end()) {
    row.Fail(column,
             "'" + region.value() + "' is not a region of the settings");
  }
  return region;
}

ZoneId ReadZone(RowReader& row, const Topology& topology) {
  const RegionId region = ReadRegion(row, topology, SheetColumn::kRegion);
  ZoneId zone(row.Text(SheetColumn::kZone));
  if (!row.ok())
    return zone;
  const RegionId* actual = RegionOfZone(topology, zone);
  if (!actual) {
    row.Fail(SheetColumn::kZone,
             "'" + zone.value() + "' is not a zone of the settings");
  } else if (*actual != region) {
    row.Fail(SheetColumn::kZone,
             "'" + zone.value() + "' is in region " + actual->value());
  }
  return zone;
}

// Reads "YYYY-MM-DDTHH:MM[:SS]Z" (UTC) as seconds since 1970; an empty cell
// means at once and gives 0.
int64_t ReadTime(RowReader& row) {
  if (!row.Has(SheetColumn::kAt))
    return 0;
  const std::string text = row.Text(SheetColumn::kAt);
  for (const char* format : {"%Y-%m-%dT%H:%M:%SZ", "%Y-%m-%dT%H:%MZ"}) {
    std::tm tm{};
    const char* end = strptime(text.c_str(), format, &tm);
    if (end && *end == '\0')
      return static_cast<int64_t>(timegm(&tm));
  }
  row.Fail(SheetColumn::kAt,
           "'" + text + "' is not a time such as 2026-05-04T06:30Z");
  return 0;
}

void ValidateShareRow(SheetValidator& validator,
                      const SheetRow& sheet_row,
                      RowReader& row) {
  const ServiceId service = ReadService(row, validator.topology);
  ShareRow share;
  share.line = sheet_row.line;
  share.zone = ReadZone(row, validator.topology);
  share.share = row.Number(SheetColumn::kPercent, 0, kPercent) / kPercent;
  row.ExpectNoOtherCells();
  validator.ExpectUnique(row, SheetColumn::kZone,
                         "share/" + service.value() + "/" + share.zone.value());
  ServiceRows& rows = validator.services[service];
  rows.share_lines.push_back(sheet_row.line);
  rows.has_share_error = rows.has_share_error || !row.ok();
  rows.shares.push_back(share);
}

void ValidatePriorityRow(SheetValidator& validator,
                         const SheetRow& sheet_row,
                         RowReader& row) {
  const ServiceId service = ReadService(row, validator.topology);
  PriorityRow it;
  it.line = sheet_row.line;
  const std::string name = row.Text(SheetColumn::kPriority);
  const auto priority = FromName<Priority>(name);
  if (row.ok() && !priority)
    row.Fail(SheetColumn::kPriority,
             "'" + name + "' is not one of urgent, normal, low");
  it.priority = priority.value_or(Priority::kLow);
  it.intent.least_share =
      row.Number(SheetColumn::kPercent, 0, kPercent) / kPercent;
  constexpr double kMaxWeight = 1000;
  if (row.Has(SheetColumn::kWeight))
    it.intent.weight = row.Number(SheetColumn::kWeight, 0, kMaxWeight);
  row.ExpectNoOtherCells();
  validator.ExpectUnique(row, SheetColumn::kPriority,
                         "priority/" + service.value() + "/" + name);
  ServiceRows& rows = validator.services[service];
  rows.priority_lines.push_back(sheet_row.line);
  rows.has_priority_error = rows.has_priority_error || !row.ok();
  rows.priorities.push_back(it);
}

void ValidateShiftCapRow(SheetValidator& validator, RowReader& row) {
  const ServiceId service = ReadService(row, validator.topology);
  constexpr double kMinShiftCapPercent = 0.1;
  const double cap =
      row.Number(SheetColumn::kPercent, kMinShiftCapPercent, kPercent) /
      kPercent;
  row.ExpectNoOtherCells();
  validator.ExpectUnique(row, SheetColumn::kService,
                         "shift_cap/" + service.value());
  if (row.ok())
    validator.reading.services[service].shift_cap_per_minute = cap;
}

void ValidateLeavingRow(SheetValidator& validator, RowReader& row) {
  LeavingEndpoint leaving;
  leaving.endpoint = EndpointId(row.Text(SheetColumn::kEndpoint));
  leaving.at_unix_seconds = ReadTime(row);
  row.ExpectNoOtherCells();
  validator.ExpectUnique(row, SheetColumn::kEndpoint,
                         "leaving/" + leaving.endpoint.value());
  if (row.ok())
    validator.reading.leaving.push_back(leaving);
  else if (!leaving.endpoint.empty())
    validator.reading.refused_leaving.insert(leaving.endpoint);
}

void ValidateHeadroomRow(SheetValidator& validator, RowReader& row) {
  const RegionId region =
      ReadRegion(row, validator.topology, SheetColumn::kRegion);
  constexpr double kMaxHeadroomPercent = 90;
  const double part =
      row.Number(SheetColumn::kPercent, 0, kMaxHeadroomPercent) / kPercent;
  row.ExpectNoOtherCells();
  validator.ExpectUnique(row, SheetColumn::kRegion,
                         "headroom/" + region.value());
  if (row.ok())
    validator.reading.headroom[region] = part;
}

void ValidateLinkRow(SheetValidator& validator, RowReader& row) {
  LinkBudget link;
  link.from = ReadRegion(row, validator.topology, SheetColumn::kRegion);
  link.to = ReadRegion(row, validator.topology, SheetColumn::kToRegion);
  constexpr double kMaxLinkGbit = 10000;
  link.bits_per_second =
      row.Number(SheetColumn::kGbit, 0, kMaxLinkGbit) * kBitsPerGigabit;
  if (row.ok() && link.from == link.to)
    row.Fail(SheetColumn::kToRegion, "is the same as region");
  row.ExpectNoOtherCells();
  validator.ExpectUnique(row, SheetColumn::kToRegion,
                         "link/" + link.from.value() + "/" + link.to.value());
  if (row.ok())
    validator.reading.links.push_back(link);
}

void ValidateRow(SheetValidator& validator, const SheetRow& sheet_row) {
  RowReader row(sheet_row);
  const std::string name = row.Text(SheetColumn::kKind);
  const auto kind = FromName<RowKind>(name);
  if (!kind) {
    row.Fail(SheetColumn::kKind, "'" + name + "' is not a kind of row");
    validator.SetVerdict(sheet_row.line, row.error());
    return;
  }
  switch (*kind) {
    case RowKind::kShare:
      ValidateShareRow(validator, sheet_row, row);
      break;
    case RowKind::kLeaving:
      ValidateLeavingRow(validator, row);
      break;
    case RowKind::kPriority:
      ValidatePriorityRow(validator, sheet_row, row);
      break;
    case RowKind::kShiftCap:
      ValidateShiftCapRow(validator, row);
      break;
    case RowKind::kHeadroom:
      ValidateHeadroomRow(validator, row);
      break;
    case RowKind::kLink:
      ValidateLinkRow(validator, row);
      break;
  }
  validator.SetVerdict(sheet_row.line, row.error());
  if (!row.ok() && !row.Has(SheetColumn::kService))
    return;
  if (!row.ok())
    validator.reading.refused_services.insert(
        ServiceId(row.Text(SheetColumn::kService)));
}

std::string PercentText(double part) {
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%.2f", part * kPercent);
  return buf;
}

void ValidateSharesOfService(SheetValidator& validator,
                             const ServiceId& service,
                             ServiceRows& rows) {
  if (rows.shares.empty())
    return;
  if (rows.has_share_error) {
    validator.RefuseGroup(rows.share_lines, SheetColumn::kService,
                          "another share row of this service is refused");
    validator.reading.refused_services.insert(service);
    return;
  }
  double sum = 0;
  for (const ShareRow& it : rows.shares)
    sum += it.share;
  if (std::abs(sum - 1.0) > kSumTolerance) {
    validator.RefuseGroup(rows.share_lines, SheetColumn::kPercent,
                          "the shares of this service add up to " +
                              PercentText(sum) + " %, not 100 %");
    validator.reading.refused_services.insert(service);
    return;
  }
  std::map<ZoneId, double> shares;
  for (const ShareRow& it : rows.shares)
    shares[it.zone] = it.share / sum;
  validator.reading.services[service].shares = std::move(shares);
}

void ValidatePrioritiesOfService(SheetValidator& validator,
                                 const ServiceId& service,
                                 ServiceRows& rows) {
  if (rows.priorities.empty())
    return;
  double sum = 0;
  for (const PriorityRow& it : rows.priorities)
    sum += it.intent.least_share;
  if (rows.has_priority_error || sum > kMaxSumOfLeastShares) {
    const std::string reason =
        rows.has_priority_error
            ? "another priority row of this service is refused"
            : "the least shares of this service add up to " + PercentText(sum) +
                  " %; the maximum is 90 %";
    validator.RefuseGroup(rows.priority_lines, SheetColumn::kPercent, reason);
    validator.reading.refused_services.insert(service);
    return;
  }
  PerPriority<PriorityIntent> priorities;
  for (const PriorityRow& it : rows.priorities)
    priorities[IndexOf(it.priority)] = it.intent;
  validator.reading.services[service].priorities = priorities;
}

}  // namespace

SheetReading ReadSheet(const Sheet& sheet, const Topology& topology) {
  SheetValidator validator{topology, {}, {}, {}, {}};
  for (const SheetRow& it : sheet.rows)
    ValidateRow(validator, it);
  for (auto& [service, rows] : validator.services) {
    ValidateSharesOfService(validator, service, rows);
    ValidatePrioritiesOfService(validator, service, rows);
  }
  for (auto& [line, verdict] : validator.verdicts)
    validator.reading.verdicts.push_back(std::move(verdict));
  return std::move(validator.reading);
}

size_t CountAccepted(const SheetReading& reading) {
  return static_cast<size_t>(
      std::count_if(reading.verdicts.begin(), reading.verdicts.end(),
                    [](const RowVerdict& it) { return it.accepted; }));
}

}  // namespace sassafras
