#include "decisions/documents.h"

#include "base/hash.h"

namespace sassafras {

namespace {

uint64_t HashOf(const DocumentKey& key, Version version) {
  const uint64_t name = HashText(key.name, static_cast<uint64_t>(key.kind) + 1);
  return HashPair(name, version.value());
}

}  // namespace

bool Accept(Replica& replica, const Document& document, Time now) {
  const auto it = replica.entries.find(document.key);
  if (it != replica.entries.end()) {
    const Version held = it->second.document.version;
    if (document.version <= held)
      return false;
    replica.digest ^= HashOf(document.key, held);
  }
  replica.digest ^= HashOf(document.key, document.version);
  replica.entries[document.key] = Replica::Entry{document, now};
  return true;
}

const Replica::Entry* Find(const Replica& replica, const DocumentKey& key) {
  const auto it = replica.entries.find(key);
  return it == replica.entries.end() ? nullptr : &it->second;
}

Version VersionOf(const Replica& replica, const DocumentKey& key) {
  const Replica::Entry* entry = Find(replica, key);
  return entry ? entry->document.version : Version();
}

std::vector<DocumentVersion> Summarize(const Replica& replica) {
  std::vector<DocumentVersion> out;
  out.reserve(replica.entries.size());
  for (const auto& [key, entry] : replica.entries)
    out.push_back({key, entry.document.version});
  return out;
}

std::vector<Document> NewerThan(const Replica& replica,
                                const std::vector<DocumentVersion>& theirs) {
  std::map<DocumentKey, Version> held;
  for (const DocumentVersion& it : theirs)
    held[it.key] = it.version;
  std::vector<Document> out;
  for (const auto& [key, entry] : replica.entries) {
    const auto it = held.find(key);
    if (it == held.end() || it->second < entry.document.version)
      out.push_back(entry.document);
  }
  return out;
}

bool LacksAny(const Replica& replica,
              const std::vector<DocumentVersion>& theirs) {
  for (const DocumentVersion& it : theirs) {
    if (VersionOf(replica, it.key) < it.version)
      return true;
  }
  return false;
}

}  // namespace sassafras
