#include "tarragonsill/transport/tarragonsill_directory_log.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

void
WriteListSummary(NodeLog& aLog,
                 StoreUpdate const& aUpdate,
                 std::vector<DirectoryChange> const& aChanges,
                 std::string const& aSource)
{
  auto const ordinary =
    std::count_if(aChanges.begin(), aChanges.end(), [](auto const& aChange) {
      return aChange.mIsOrdinary;
    });
  aLog.Write(
    "config",
    "list_taken",
    { { "kind", std::string(ToText(aUpdate.mKind)) },
      { "changes", static_cast<std::int64_t>(aChanges.size()) },
      { "serving", static_cast<std::int64_t>(ordinary) },
      { "revision", static_cast<std::int64_t>(aUpdate.mUpTo.mRevision) },
      { "era", static_cast<std::int64_t>(aUpdate.mUpTo.mEra) },
      { "source", aSource } });
}

} // namespace

void
WriteDirectoryChanges(NodeLog& aLog,
                      StoreUpdate const& aUpdate,
                      std::vector<DirectoryChange> const& aChanges,
                      std::string const& aSource)
{
  bool const isLong =
    aUpdate.mIsWholeList && aChanges.size() > kMaxLinesPerList;
  if (isLong) {
    WriteListSummary(aLog, aUpdate, aChanges, aSource);
  }
  for (auto const& change : aChanges) {
    if (isLong && change.mIsOrdinary) {
      continue;
    }
    aLog.Write(
      "config",
      "belief_changed",
      { { "kind", change.mKind },
        { "name", change.mSubject },
        { "outcome", change.mOutcome },
        { "revision", static_cast<std::int64_t>(change.mPosition.mRevision) },
        { "era", static_cast<std::int64_t>(change.mPosition.mEra) },
        { "source", aSource } });
  }
}

void
WriteMissingChanges(NodeLog& aLog,
                    ObjectKind aKind,
                    std::optional<PositionRange> const& aMissing,
                    std::string const& aSource)
{
  std::vector<LogField> fields{ { "kind", std::string(ToText(aKind)) },
                                { "source", aSource } };
  if (aMissing) {
    fields.push_back({ "after", ToText(aMissing->mAfter) });
    fields.push_back({ "up_to", ToText(aMissing->mUpTo) });
  }
  aLog.Write(
    "config", aMissing ? "changes_missing" : "no_changes_missing", fields);
}

} // namespace tarragonsill
