#include "tarragonsill_test.hpp"

#include "support/fixtures.hpp"

using namespace tarragonsill;

TEST_GROUP(ConfigurationRules){};

TEST(ConfigurationRules, an_address_belongs_to_one_owner)
{
  auto configuration = Test::MakeConfiguration({});
  auto other = configuration.mServices.front();
  other.mName = "other";
  other.mAddress.mPort = 444;
  for (auto& upstream : other.mUpstreams) {
    upstream.mName += "-other";
  }
  configuration.mServices.push_back(other);
  auto const errors = Validate(configuration);
  LONGS_EQUAL(2, errors.size());
  STRCMP_EQUAL("services.other.upstreams.shop-1-other.address",
               errors.front().mKey.c_str());
}

TEST(ConfigurationRules, an_upstream_needs_a_declared_zone)
{
  auto configuration = Test::MakeConfiguration({});
  configuration.mServices.front().mUpstreams.front().mZone = "nowhere";
  auto const errors = Validate(configuration);
  LONGS_EQUAL(1, errors.size());
}

TEST(ConfigurationRules, the_base_of_a_service_stays_when_upstreams_change)
{
  auto const first = Test::MakeConfiguration({});
  auto changed = first;
  changed.mServices.front().mUpstreams.pop_back();
  auto const next = MakeSuccessor(changed, &first);
  CHECK(next.HasValue());
  CHECK(next->mServices.front().mBase == first.mServices.front().mBase);
}

TEST(ConfigurationRules, a_removed_address_stays_in_quarantine)
{
  auto const first = Test::MakeConfiguration({});
  auto changed = first;
  auto const removed = changed.mServices.front().mUpstreams.back().mAddress;
  changed.mServices.front().mUpstreams.pop_back();
  auto const next = MakeSuccessor(changed, &first);
  CHECK(next.HasValue());
  LONGS_EQUAL(1, next->mServices.front().mRetired.size());

  auto taken = *next;
  Service other;
  other.mName = "other";
  other.mAddress = { { 1 }, 1 };
  other.mUpstreams = { first.mServices.front().mUpstreams.back() };
  other.mUpstreams.front().mAddress = removed;
  taken.mServices.push_back(other);
  CHECK_FALSE(MakeSuccessor(taken, &*next).HasValue());
}
