#include "tarragonsill/platform/tarragonsill_platform_objects.hpp"

#include "tarragonsill/platform/internal/tarragonsill_platform_json_parts.hpp"
#include "tarragonsill/platform/internal/tarragonsill_platform_records.hpp"

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

/// Percent-encodes all characters of a value of a query but the unreserved ones
/// (RFC 3986), since other writers choose names too.
std::string
EncodeQueryValue(std::string_view aText)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                           "abcdefghijklmnopqrstuvwxyz"
                                           "0123456789-._~";
  std::string encoded;
  for (char const character : aText) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    auto const byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kHexDigits[byte >> 4U];
    encoded += kHexDigits[byte & 0xFU];
  }
  return encoded;
}

/// Decodes the content of an object; `aSpec` is its raw text.
template<typename Decode>
void
SetContent(ObjectChange& aChange, std::string_view aSpec, Decode aDecode)
{
  auto const spec = ParseJson(aSpec);
  if (!spec) {
    aChange.mContent = InvalidRecord{ spec.LastReason().mText };
    return;
  }
  auto content = aDecode(spec.Value());
  if (!content) {
    aChange.mContent = InvalidRecord{ content.LastReason().mText };
    return;
  }
  aChange.mContent = content.Take();
}

ObjectChange
DecodeObject(ObjectKind aKind, std::uint64_t aEra, std::string_view aObject)
{
  ObjectChange change;
  auto const parts = SplitObject(aObject);
  auto const meta =
    ReadMembers(SplitObject(MemberText(parts, "meta")), { "name", "revision" });
  change.mName = Text(meta, "name").value_or("");
  change.mPosition = { aEra, Unsigned(meta, "revision").value_or(0) };
  if (change.mName.empty()) {
    change.mContent = InvalidRecord{ "name: a text is expected" };
    return change;
  }
  auto const spec = MemberText(parts, "spec");
  switch (aKind) {
    case ObjectKind::Configuration:
      SetContent(change, spec, DecodeConfiguration);
      break;
    case ObjectKind::Upstreams:
      SetContent(change, spec, [&](nlohmann::json const& aSpec) {
        return DecodeUpstream(change.mName, aSpec);
      });
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
    add("after", EncodeQueryValue(aQuery.mAfter));
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
  bool const isWatch = aQuery.mWatchFrom.IsSet();
  auto const body = SplitObject(aBody);
  auto const head = ReadMembers(body, { "currentRev", "more" });
  auto const revision = Unsigned(head, "currentRev");
  auto const items = SplitArray(MemberText(body, isWatch ? "events" : "items"));
  if (!revision || !items) {
    return Reason{
      ReasonCode::Malformed,
      "answer of the store has no list of objects or no revision"
    };
  }
  ObjectPage page;
  page.mPosition = { aEra, *revision };
  page.mHasMore = Flag(head, "more");
  for (auto const item : *items) {
    if (!isWatch) {
      page.mChanges.push_back(DecodeObject(aQuery.mKind, aEra, item));
      continue;
    }
    auto const event = SplitObject(item);
    auto change = DecodeObject(aQuery.mKind, aEra, MemberText(event, "object"));
    // A tombstone is an event that removes its object.
    change.mRemoved = Flag(ReadMembers(event, { "tombstone" }), "tombstone");
    page.mChanges.push_back(std::move(change));
  }
  return page;
}

} // namespace tarragonsill::Platform
