#include <csv.h>

#include <memory>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "decisions/sheet.h"

namespace sassafras {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr size_t kMaxSheetBytes = 1 << 20;

struct CsvFree {
  void operator()(csv_parser* parser) const {
    csv_free(parser);
    delete parser;
  }
};

struct RawRow {
  int line = 0;
  std::vector<std::string> cells;
};

struct RowCollector {
  std::vector<RawRow> rows;
  RawRow current;
  int line = 1;  // Line number of the current byte.
};

std::string Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t";
  const size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos)
    return "";
  const size_t last = text.find_last_not_of(kSpace);
  return std::string(text.substr(first, last - first + 1));
}

void OnField(void* data, size_t size, void* self) {
  auto* rows = static_cast<RowCollector*>(self);
  rows->current.cells.push_back(Trim({static_cast<const char*>(data), size}));
}

void OnRow(int, void* self) {
  auto* rows = static_cast<RowCollector*>(self);
  rows->rows.push_back(std::move(rows->current));
  rows->current = RawRow();
}

// Detects the separator from the header line: spreadsheet programs in locales
// with a decimal comma export semicolons.
char DelimiterOf(std::string_view text) {
  const std::string_view header = text.substr(0, text.find_first_of("\r\n"));
  return header.find(';') != std::string_view::npos ? ';' : ',';
}

Error LineError(const std::string& name, int line, const std::string& reason) {
  return Error{ErrorCode::kBadInput, "read sheet",
               name + ":" + std::to_string(line), reason};
}

// Parses byte by byte, so that the line on which each row starts is known.
Result<std::vector<RawRow>> SplitRows(std::string_view text,
                                      const std::string& name) {
  std::unique_ptr<csv_parser, CsvFree> parser(new csv_parser);
  if (csv_init(parser.get(), CSV_STRICT | CSV_STRICT_FINI) != 0)
    return leaf::new_error(LineError(name, 1, "no memory for the parser"));
  csv_set_delim(parser.get(), static_cast<unsigned char>(DelimiterOf(text)));
  RowCollector rows;
  bool row_begun = false;
  for (const char c : text) {
    const bool line_end = c == '\n' || c == '\r';
    if (!row_begun && !line_end) {
      rows.current.line = rows.line;
      row_begun = true;
    }
    const size_t done = rows.rows.size();
    if (csv_parse(parser.get(), &c, 1, OnField, OnRow, &rows) != 1) {
      return leaf::new_error(
          LineError(name, rows.line, csv_strerror(csv_error(parser.get()))));
    }
    if (rows.rows.size() != done)
      row_begun = false;
    if (c == '\n')
      ++rows.line;
  }
  if (csv_fini(parser.get(), OnField, OnRow, &rows) != 0)
    return leaf::new_error(LineError(name, rows.line, "a quote is not closed"));
  return std::move(rows.rows);
}

bool IsEmpty(const RawRow& row) {
  for (const std::string& it : row.cells) {
    if (!it.empty())
      return false;
  }
  return true;
}

Result<std::vector<SheetColumn>> ReadHeader(const RawRow& header,
                                            const std::string& name) {
  std::vector<SheetColumn> columns;
  std::set<SheetColumn> seen;
  for (const std::string& it : header.cells) {
    const auto column = FromName<SheetColumn>(it);
    if (!column) {
      return leaf::new_error(
          LineError(name, header.line, "unknown column '" + it + "'"));
    }
    if (!seen.insert(*column).second) {
      return leaf::new_error(
          LineError(name, header.line, "column '" + it + "' is repeated"));
    }
    columns.push_back(*column);
  }
  if (seen.count(SheetColumn::kKind) == 0) {
    return leaf::new_error(
        LineError(name, header.line, "column 'kind' is missing"));
  }
  return columns;
}

}  // namespace

Result<Sheet> ParseSheet(std::string_view text, const std::string& name) {
  Sheet sheet;
  sheet.hash = HashText(text);
  if (text.size() > kMaxSheetBytes)
    return leaf::new_error(LineError(name, 1, "the file is larger than 1 MB"));
  if (text.substr(0, kByteOrderMark.size()) == kByteOrderMark)
    text.remove_prefix(kByteOrderMark.size());
  BOOST_LEAF_AUTO(rows, SplitRows(text, name));
  std::optional<std::vector<SheetColumn>> columns;
  for (const RawRow& raw : rows) {
    if (IsEmpty(raw))
      continue;
    if (!columns) {
      BOOST_LEAF_AUTO(header, ReadHeader(raw, name));
      columns = std::move(header);
      continue;
    }
    if (raw.cells.size() > columns->size()) {
      return leaf::new_error(
          LineError(name, raw.line, "the row has more cells than columns"));
    }
    SheetRow row;
    row.line = raw.line;
    for (size_t n = 0; n < raw.cells.size(); ++n) {
      if (!raw.cells[n].empty())
        row.cells[(*columns)[n]] = raw.cells[n];
    }
    sheet.rows.push_back(std::move(row));
  }
  if (!columns)
    return leaf::new_error(LineError(name, 1, "the file has no header line"));
  return sheet;
}

}  // namespace sassafras
