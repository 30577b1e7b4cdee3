#include "tarragonsill/platform/tarragonsill_platform_objects.hpp"

#include "tarragonsill/platform/internal/tarragonsill_platform_records.hpp"

#include <algorithm>
#include <charconv>

namespace tarragonsill::Platform {

namespace {

char const*
PathSegment(ObjectKind aKind)
{
  switch (aKind) {
    case ObjectKind::Configuration:
      return "config";
    case ObjectKind::Upstreams:
      return "servers";
    case ObjectKind::Evacuations:
      return "evacuations";
  }
  return "";
}

/// Parses a body. If a foreign writer stored bytes that are not valid text,
/// they are replaced by spaces, so that the other objects can still be read.
nlohmann::json
ParseBody(std::string const& aBody)
{
  auto parsed = nlohmann::json::parse(aBody, nullptr, false);
  if (!parsed.is_discarded()) {
    return parsed;
  }
  auto cleaned = aBody;
  std::replace_if(
    cleaned.begin(),
    cleaned.end(),
    [](char aByte) {
      constexpr unsigned char kFirstPrintable = 0x20;
      constexpr unsigned char kFirstNonAscii = 0x80;
      auto const byte = static_cast<unsigned char>(aByte);
      return byte < kFirstPrintable || byte >= kFirstNonAscii;
    },
    ' ');
  return nlohmann::json::parse(cleaned, nullptr, false);
}

ObjectChange
DecodeObject(ObjectKind aKind,
             std::uint64_t aEra,
             nlohmann::json const& aObject)
{
  ObjectChange change;
  auto const meta = Member(aObject, "meta");
  change.mName = Text(meta, "name").value_or("");
  change.mPosition = { aEra, Unsigned(meta, "revision").value_or(0) };
  auto const& spec = Member(aObject, "spec");
  auto const setContent = [&](auto aResult) {
    if (aResult) {
      change.mContent = aResult.Take();
    } else {
      change.mContent = InvalidRecord{ aResult.LastReason().mText };
    }
  };
  switch (aKind) {
    case ObjectKind::Configuration:
      setContent(DecodeConfiguration(spec));
      break;
    case ObjectKind::Upstreams:
      setContent(DecodeUpstream(change.mName, spec));
      break;
    case ObjectKind::Evacuations:
      change.mContent = EvacuationRecord{};
      break;
  }
  return change;
}

} // namespace

std::string
ObjectFormat::Path(ObjectQuery const& aQuery)
{
  auto path = std::string("/objects/") + PathSegment(aQuery.mKind);
  char separator = '?';
  auto const add = [&](std::string const& aName, std::string const& aValue) {
    path += separator + aName + "=" + aValue;
    separator = '&';
  };
  if (!aQuery.mAfter.empty()) {
    add("after", aQuery.mAfter);
  }
  if (aQuery.mWatchFrom.IsSet()) {
    add("watch", std::to_string(aQuery.mWatchFrom.mRevision));
    add("waitMs", std::to_string(aQuery.mWait.count()));
  }
  if (aQuery.mMayBeStale) {
    // Any replica may answer, and it may lag.
    add("serializable", "1");
  }
  return path;
}

std::optional<std::uint64_t>
ObjectFormat::ReadEra(std::string const& aText)
{
  std::uint64_t era = 0;
  auto const* const end = aText.data() + aText.size();
  auto const [parseEnd, error] = std::from_chars(aText.data(), end, era);
  bool const isNumber = error == std::errc{} && parseEnd == end;
  return isNumber ? std::optional(era) : std::nullopt;
}

Result<ObjectPage>
ObjectFormat::Decode(ObjectQuery const& aQuery,
                     std::uint64_t aEra,
                     std::string const& aBody)
{
  auto const body = ParseBody(aBody);
  auto const revision = Unsigned(body, "currentRev");
  bool const isWatch = aQuery.mWatchFrom.IsSet();
  auto const& items = Member(body, isWatch ? "events" : "items");
  if (!revision || !items.is_array()) {
    return Reason{
      ReasonCode::Malformed,
      "answer of the store has no list of objects or no revision"
    };
  }
  ObjectPage page;
  page.mPosition = { aEra, *revision };
  page.mHasMore = Flag(body, "more");
  for (auto const& item : items) {
    if (!isWatch) {
      page.mChanges.push_back(DecodeObject(aQuery.mKind, aEra, item));
      continue;
    }
    auto change = DecodeObject(aQuery.mKind, aEra, Member(item, "object"));
    // A tombstone is an event that removes its object.
    change.mRemoved = Flag(item, "tombstone");
    page.mChanges.push_back(std::move(change));
  }
  return page;
}

} // namespace tarragonsill::Platform
