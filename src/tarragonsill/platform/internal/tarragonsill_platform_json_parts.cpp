#include "tarragonsill/platform/internal/tarragonsill_platform_json_parts.hpp"

#include <algorithm>

namespace tarragonsill::Platform {

namespace {

/// Objects of the platform have five levels. Copying a parsed value needs stack
/// for each level.
constexpr std::size_t kMaxNesting = 32;

constexpr std::string_view kSpace = " \t\n\r";
constexpr std::string_view kEndOfScalar = " \t\n\r,:]}";

/// Reads a text value by value. Each function returns nothing at the first
/// structural error; what is inside strings and scalars is not checked.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : mText(aText)
  {
  }

  /// Skips white space, then the character if it is next.
  bool Take(char aCharacter)
  {
    SkipSpace();
    bool const isNext =
      mPosition < mText.size() && mText[mPosition] == aCharacter;
    mPosition += isNext ? 1 : 0;
    return isNext;
  }

  std::optional<std::string_view> TakeValue()
  {
    SkipSpace();
    auto const begin = mPosition;
    bool const isWhole = begin < mText.size() && SkipValue();
    return isWhole ? std::optional(mText.substr(begin, mPosition - begin))
                   : std::nullopt;
  }

  bool IsAtEnd()
  {
    SkipSpace();
    return mPosition == mText.size();
  }

  /// The deepest nesting of any value so far.
  std::size_t Nesting() const { return mNesting; }

private:
  void SkipSpace() { SkipTo(mText.find_first_not_of(kSpace, mPosition)); }

  void SkipTo(std::size_t aPosition)
  {
    mPosition = std::min(aPosition, mText.size());
  }

  bool SkipValue()
  {
    switch (mText[mPosition]) {
      case '"':
        return SkipString();
      case '{':
      case '[':
        return SkipNested();
      default:
        auto const begin = mPosition;
        SkipTo(mText.find_first_of(kEndOfScalar, begin));
        return mPosition > begin;
    }
  }

  bool SkipString()
  {
    for (++mPosition; mPosition < mText.size(); ++mPosition) {
      if (mText[mPosition] == '\\') {
        ++mPosition;
      } else if (mText[mPosition] == '"') {
        ++mPosition;
        return true;
      }
    }
    return false;
  }

  bool SkipNested()
  {
    std::size_t nesting = 0;
    while (mPosition < mText.size()) {
      auto const character = mText[mPosition];
      if (character == '"') {
        if (!SkipString()) {
          return false;
        }
        continue;
      }
      ++mPosition;
      if (character == '{' || character == '[') {
        mNesting = std::max(mNesting, ++nesting);
      } else if (character == '}' || character == ']') {
        --nesting;
      }
      if (nesting == 0) {
        return true;
      }
    }
    return false;
  }

  std::string_view mText;
  std::size_t mPosition = 0;
  std::size_t mNesting = 0;
};

/// Calls `aTakeItem` for each of the items between two brackets. Returns
/// whether the text has them all and nothing else.
template<typename TakeItem>
bool
SplitItems(Scanner& aScanner, char aBegin, char aEnd, TakeItem aTakeItem)
{
  if (!aScanner.Take(aBegin)) {
    return false;
  }
  if (aScanner.Take(aEnd)) {
    return aScanner.IsAtEnd();
  }
  do {
    if (!aTakeItem()) {
      return false;
    }
  } while (aScanner.Take(','));
  return aScanner.Take(aEnd) && aScanner.IsAtEnd();
}

} // namespace

JsonMembers
SplitObject(std::string_view aText)
{
  Scanner scanner(aText);
  JsonMembers members;
  bool const isWhole = SplitItems(scanner, '{', '}', [&] {
    auto const name = scanner.TakeValue();
    if (!name || name->front() != '"' || !scanner.Take(':')) {
      return false;
    }
    auto const value = scanner.TakeValue();
    if (!value) {
      return false;
    }
    members.insert_or_assign(name->substr(1, name->size() - 2), *value);
    return true;
  });
  return isWhole ? members : JsonMembers{};
}

std::optional<std::vector<std::string_view>>
SplitArray(std::string_view aText)
{
  Scanner scanner(aText);
  std::vector<std::string_view> items;
  bool const isWhole = SplitItems(scanner, '[', ']', [&] {
    auto const item = scanner.TakeValue();
    items.push_back(item.value_or(std::string_view{}));
    return item.has_value();
  });
  return isWhole ? std::optional(std::move(items)) : std::nullopt;
}

std::string_view
MemberText(JsonMembers const& aMembers, std::string_view aName)
{
  auto const member = aMembers.find(aName);
  return member == aMembers.end() ? std::string_view{} : member->second;
}

Result<nlohmann::json>
ParseJson(std::string_view aText)
{
  if (aText.empty()) {
    return nlohmann::json{};
  }
  Scanner scanner(aText);
  (void)scanner.TakeValue();
  if (scanner.Nesting() > kMaxNesting) {
    return Reason{ ReasonCode::Malformed, "values are nested too deeply" };
  }
  auto parsed = nlohmann::json::parse(aText, nullptr, false);
  if (parsed.is_discarded()) {
    return Reason{ ReasonCode::Malformed,
                   "text or a number cannot be read as JSON" };
  }
  return parsed;
}

nlohmann::json
ReadMembers(JsonMembers const& aMembers,
            std::initializer_list<char const*> aNames)
{
  auto object = nlohmann::json::object();
  for (auto const* name : aNames) {
    auto value = ParseJson(MemberText(aMembers, name));
    if (value) {
      object[name] = value.Take();
    }
  }
  return object;
}

} // namespace tarragonsill::Platform
