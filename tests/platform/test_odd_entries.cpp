#include "tarragonsill_test.hpp"

#include "tarragonsill/platform/tarragonsill_platform_objects.hpp"

#include <string>

using namespace tarragonsill;
using Platform::ObjectFormat;

namespace {

constexpr std::uint64_t kEra = 3;
/// A store takes objects of up to 1 MiB.
constexpr std::size_t kMaxObjectSize = 1024 * 1024;
constexpr char const* kSpec =
  R"({"service":"svc","address":"10.1.64.9:8080","zone":"a","version":"v1",)"
  R"("slots":4,"state":"ready","coldLeftMs":0,"seq":9,"born":1796000000000})";

std::string
Repeated(std::string const& aText, std::size_t aCount)
{
  std::string text;
  for (std::size_t count = 0; count < aCount; ++count) {
    text += aText;
  }
  return text;
}

/// A valid specification with one member replaced.
std::string
SpecWith(std::string const& aMember, std::string const& aValue)
{
  std::string spec = kSpec;
  auto const begin = spec.find("\"" + aMember + "\":") + aMember.size() + 3;
  auto const end = spec.find_first_of(",}", begin);
  return spec.replace(begin, end - begin, aValue);
}

/// An object as the store sends it, with its parts as raw text.
struct RawObject
{
  std::string mName = R"("i-0bad")";
  std::string mSpec = kSpec;
  std::string mStatus = "null";
  std::string mFinalizers = "[]";

  std::string Text() const
  {
    return R"({"meta":{"name":)" + mName +
           R"(,"revision":31,"created":31,"finalizers":)" + mFinalizers +
           R"(,"deletePending":false},"spec":)" + mSpec + R"(,"status":)" +
           mStatus + "}";
  }
};

Result<ObjectPage>
DecodeList(std::string const& aItems, bool aHasMore = false)
{
  ObjectQuery query;
  query.mKind = ObjectKind::Upstreams;
  return ObjectFormat::Decode(query,
                              kEra,
                              R"({"items":[)" + aItems + R"(],"more":)" +
                                (aHasMore ? "true" : "false") +
                                R"(,"currentRev":40})");
}

Result<ObjectPage>
DecodeEvent(std::string const& aObject)
{
  ObjectQuery query;
  query.mKind = ObjectKind::Upstreams;
  query.mWatchFrom = { kEra, 12 };
  return ObjectFormat::Decode(query,
                              kEra,
                              R"({"events":[{"tombstone":false,"object":)" +
                                aObject + R"(}],"currentRev":40})");
}

bool
IsInvalid(ObjectChange const& aChange)
{
  return std::holds_alternative<InvalidRecord>(aChange.mContent);
}

/// Checks that an odd object between two hosts leaves both in use. Returns what
/// is decoded of the odd one.
ObjectChange
CheckOthersHold(RawObject const& aOdd)
{
  RawObject const first{ R"("i-00aa")" };
  RawObject const last{ R"("i-00cc")" };
  auto const page =
    DecodeList(first.Text() + "," + aOdd.Text() + "," + last.Text());
  CHECK(page.HasValue());
  LONGS_EQUAL(3, page->mChanges.size());
  CHECK(page->mPosition == StorePosition(kEra, 40));
  for (auto const* host : { &page->mChanges[0], &page->mChanges[2] }) {
    CHECK_FALSE(IsInvalid(*host));
  }
  STRCMP_EQUAL("i-00cc", page->mChanges[2].mName.c_str());
  auto const event = DecodeEvent(aOdd.Text());
  CHECK(event.HasValue());
  LONGS_EQUAL(1, event->mChanges.size());
  auto const& odd = page->mChanges[1];
  STRCMP_EQUAL(odd.mName.c_str(), event->mChanges[0].mName.c_str());
  CHECK(odd.mPosition == StorePosition(kEra, 31));
  return odd;
}

/// Checks that an odd specification is one object without a registration.
void
CheckNamesNoHost(std::string const& aSpec)
{
  RawObject odd;
  odd.mSpec = aSpec;
  auto const change = CheckOthersHold(odd);
  STRCMP_EQUAL("i-0bad", change.mName.c_str());
  CHECK(IsInvalid(change));
}

/// Checks that odd text in the other parts of an object that foreign programs
/// write hides neither its name nor, in its status, its specification.
void
CheckTextBesideSpecification(std::string const& aText)
{
  RawObject odd;
  odd.mFinalizers = aText;
  STRCMP_EQUAL("i-0bad", CheckOthersHold(odd).mName.c_str());
  odd.mFinalizers = "[]";
  odd.mStatus = aText;
  CHECK_FALSE(IsInvalid(CheckOthersHold(odd)));
}

} // namespace

/// One odd entry of another writer must end no process and must hide no change
/// of the others.
TEST_GROUP(OddEntries){};

TEST(OddEntries, a_text_that_is_not_unicode)
{
  CheckNamesNoHost(R"({"service":"app","zone":"a","version":"\ud800"})");
  CheckNamesNoHost(SpecWith("version", R"("\udc00\ud800")"));
  CheckNamesNoHost(SpecWith("version", "\"\xFF\xFE\""));
  CheckNamesNoHost(SpecWith("version", "\"a\nb\x01\""));
  CheckNamesNoHost(SpecWith("version", R"("\q")"));
}

TEST(OddEntries, a_number_that_is_too_large)
{
  for (std::string const number :
       { "1e400", "-1e400", "18446744073709551616", "1e300", "-1" }) {
    CheckNamesNoHost(SpecWith("slots", number));
  }
  CheckNamesNoHost(SpecWith("seq", "1e400"));
  CheckNamesNoHost(SpecWith("coldLeftMs", "1e400"));
  CheckNamesNoHost(SpecWith("born", "18446744073709551615"));
}

TEST(OddEntries, a_port_that_is_out_of_range)
{
  for (std::string const port :
       { "0", "65536", "-1", "70000", "4294975376", "18446744073709559696" }) {
    CheckNamesNoHost(SpecWith("address", "\"10.1.64.9:" + port + "\""));
  }
}

TEST(OddEntries, a_value_that_is_nested_very_deeply)
{
  for (auto const depth : { std::size_t{ 200 }, kMaxObjectSize / 2 }) {
    auto const list = Repeated("[", depth) + Repeated("]", depth);
    CheckNamesNoHost(list);
    CheckNamesNoHost(SpecWith("seq", list));
  }
  constexpr auto kObjects = kMaxObjectSize / 6;
  CheckNamesNoHost(Repeated(R"({"a":)", kObjects) + "1" +
                   Repeated("}", kObjects));
}

TEST(OddEntries, odd_text_beside_the_specification)
{
  for (char const* text : { R"(["\ud800"])", "[1e400]" }) {
    CheckTextBesideSpecification(text);
  }
}

TEST(OddEntries, a_deeply_nested_value_beside_the_specification)
{
  // Guards against recursion that ends the process with its stack.
  constexpr auto kDepth = kMaxObjectSize / 2;
  CheckTextBesideSpecification(Repeated("[", kDepth) + Repeated("]", kDepth));
}

TEST(OddEntries, a_name_that_cannot_be_read)
{
  for (std::string const name : { R"("\ud800")", "7", "null", R"("")" }) {
    RawObject odd;
    odd.mName = name;
    CHECK(IsInvalid(CheckOthersHold(odd)));
  }
}

TEST(OddEntries, an_object_that_is_none)
{
  for (char const* text : { "null", "7", "[]", R"("text")", "{}", "1e400" }) {
    auto const page = DecodeList(RawObject{}.Text() + "," + text);
    CHECK(page.HasValue());
    LONGS_EQUAL(2, page->mChanges.size());
    CHECK_FALSE(IsInvalid(page->mChanges.front()));
    CHECK(IsInvalid(page->mChanges.back()));
  }
}

TEST(OddEntries, any_text_in_a_specification_leaves_the_others_in_use)
{
  CheckProperty("any text", [] {
    auto const parts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("\\ud800",
                                    "\\\"",
                                    "\\\\",
                                    "{[",
                                    "]}",
                                    ",",
                                    ":",
                                    "\xF0\x9F",
                                    "items",
                                    std::string(1, '\0')));
    std::string text;
    for (auto const& part : parts) {
      text += part;
    }
    RawObject odd;
    odd.mSpec = R"({"service":")" + text + R"("})";
    auto const page =
      DecodeList(odd.Text() + "," + RawObject{ R"("i-00cc")" }.Text());
    RC_ASSERT(page.HasValue());
    RC_ASSERT(page->mChanges.size() == 2U);
    RC_ASSERT(IsInvalid(page->mChanges.front()));
    RC_ASSERT(!IsInvalid(page->mChanges.back()));
  });
}
