// Versioned documents that every process follows, and the replica of them
// that each process keeps.
//
// Within one key a version is never followed by a lower one, whatever a store
// or a peer says.
#ifndef DECISIONS_DOCUMENTS_H_
#define DECISIONS_DOCUMENTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time.h"

namespace sassafras {

enum class DocumentKind {
  kHosts,      // The platform's list of entry hosts.
  kEndpoints,  // The platform's list of endpoints, one document per service.
  kIntent,     // What operators declared.
  kPlan,       // Shares in force, one document per service.
  kViews,      // Holders of the key shards, one document per region.
};

template <>
struct NamesTable<DocumentKind> {
  static constexpr EnumName<DocumentKind> kNames[] = {
      {DocumentKind::kHosts, "hosts"},
      {DocumentKind::kEndpoints, "endpoints"},
      {DocumentKind::kIntent, "intent"},
      {DocumentKind::kPlan, "plan"},
      {DocumentKind::kViews, "views"},
  };
};
SASSAFRAS_ENUM_JSON(DocumentKind);

constexpr DocumentKind kAllDocumentKinds[] = {
    DocumentKind::kHosts, DocumentKind::kEndpoints, DocumentKind::kIntent,
    DocumentKind::kPlan, DocumentKind::kViews};

// Name of the only intent document and of the only host list.
inline constexpr char kSoleDocument[] = "current";

struct DocumentKey {
  DocumentKind kind = DocumentKind::kHosts;
  std::string name;

  friend bool operator<(const DocumentKey& a, const DocumentKey& b) {
    return a.kind != b.kind ? a.kind < b.kind : a.name < b.name;
  }
  friend bool operator==(const DocumentKey& a, const DocumentKey& b) {
    return a.kind == b.kind && a.name == b.name;
  }
};

struct Document {
  DocumentKey key;
  Version version;
  std::string payload;  // JSON text.
};

struct DocumentVersion {
  DocumentKey key;
  Version version;
};

// A process's copy of all documents.
struct Replica {
  struct Entry {
    Document document;
    Time first_seen;  // When this process first held this version.
  };
  std::map<DocumentKey, Entry> entries;
  // Order-free hash over all keys with their versions; equal on two processes
  // that hold the same versions.
  uint64_t digest = 0;
};

// Takes `document` if it is newer than the copy held. Returns whether it was
// taken.
bool Accept(Replica& replica, const Document& document, Time now);

// The copy of `key`, or nothing.
const Replica::Entry* Find(const Replica& replica, const DocumentKey& key);

// Version held of `key`; zero if there is none.
Version VersionOf(const Replica& replica, const DocumentKey& key);

// All keys with the versions held.
std::vector<DocumentVersion> Summarize(const Replica& replica);

// The documents that a process with the versions `theirs` lacks.
std::vector<Document> NewerThan(const Replica& replica,
                                const std::vector<DocumentVersion>& theirs);

// Whether `theirs` names a version that `replica` lacks.
bool LacksAny(const Replica& replica,
              const std::vector<DocumentVersion>& theirs);

}  // namespace sassafras

#endif  // DECISIONS_DOCUMENTS_H_
