#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_history_search.hpp"

using namespace tarragonsill;

namespace {

constexpr TimePoint kNow{ seconds{ 100 } };
constexpr StorePosition kListed{ 1, 5000 };

/// Searches in a store that has the last changes; returns the number of changes
/// that it was asked for at most and had, and counts the queries.
std::uint64_t
Search(std::uint64_t aChanges, int& aQueries)
{
  HistorySearch search(kListed);
  std::uint64_t found = 0;
  aQueries = 0;
  while (auto const query = search.Next(kNow)) {
    ++aQueries;
    auto const asked = kListed.mRevision - query->mFrom.mRevision;
    if (asked > aChanges) {
      search.RecordGone();
      continue;
    }
    found = std::max(found, asked);
    search.RecordChanges({ {}, false, kListed });
  }
  CHECK(search.IsComplete());
  return found;
}

} // namespace

TEST_GROUP(HistorySearch){};

TEST(HistorySearch, all_changes_that_the_store_has_are_found)
{
  for (std::uint64_t changes : { 0, 1, 7, 15, 16, 17, 60, 255, 1000, 4999 }) {
    int queries = 0;
    LONGS_EQUAL(changes, Search(changes, queries));
    CHECK(queries <= 16);
  }
}

TEST(HistorySearch, a_refusal_by_a_lagging_replica_is_confirmed)
{
  constexpr std::uint64_t kChanges = 40;
  HistorySearch search(kListed);
  std::uint64_t found = 0;
  while (auto const query = search.Next(kNow)) {
    auto const asked = kListed.mRevision - query->mFrom.mRevision;
    if (query->mMayBeStale || asked > kChanges) {
      search.RecordGone();
      continue;
    }
    found = std::max(found, asked);
    search.RecordChanges({ {}, false, kListed });
  }
  LONGS_EQUAL(kChanges, found);
}

TEST(HistorySearch, changes_of_a_lagging_replica_do_not_count)
{
  HistorySearch search(kListed);
  CHECK(search.Next(kNow)->mMayBeStale);
  ObjectChange change;
  search.RecordChanges({ { change }, false, { 1, 4999 } });
  CHECK_FALSE(search.Next(kNow)->mMayBeStale);
  CHECK(search.TakeChanges().empty());
}

TEST(HistorySearch, a_search_in_a_slow_store_ends)
{
  HistorySearch search(kListed);
  CHECK(search.Next(kNow).has_value());
  CHECK_FALSE(search.Next(kNow + HistorySearch::kMaxTime).has_value());
  CHECK_FALSE(search.IsComplete());
}
