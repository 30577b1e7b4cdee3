#include "tarragonsill_test.hpp"

#include "support/fixtures.hpp"

using namespace tarragonsill;

TEST_GROUP(ConfigurationRules){};

TEST(ConfigurationRules, addresses_must_be_unique)
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

TEST(ConfigurationRules, the_zone_of_an_upstream_must_be_declared)
{
  auto configuration = Test::MakeConfiguration({});
  configuration.mServices.front().mUpstreams.front().mZone = "nowhere";
  auto const errors = Validate(configuration);
  LONGS_EQUAL(1, errors.size());
}

TEST(ConfigurationRules, the_steering_base_is_kept_when_upstreams_change)
{
  auto const first = Test::MakeConfiguration({});
  auto changed = first;
  changed.mServices.front().mUpstreams.pop_back();
  auto const next = MakeSuccessor(changed, &first);
  CHECK(next.HasValue());
  CHECK(next->mServices.front().mBase == first.mServices.front().mBase);
}

TEST(ConfigurationRules, a_removed_address_is_retired_and_cannot_be_reused)
{
  auto const first = Test::MakeConfiguration({});
  auto changed = first;
  auto const removed = changed.mServices.front().mUpstreams.back().mAddress;
  changed.mServices.front().mUpstreams.pop_back();
  auto const next = MakeSuccessor(changed, &first);
  CHECK(next.HasValue());
  LONGS_EQUAL(1, next->mServices.front().mRetired.size());

  auto reusing = *next;
  Service other;
  other.mName = "other";
  other.mAddress = { { 1 }, 1 };
  other.mUpstreams = { first.mServices.front().mUpstreams.back() };
  other.mUpstreams.front().mAddress = removed;
  reusing.mServices.push_back(other);
  CHECK_FALSE(MakeSuccessor(reusing, &*next).HasValue());
}
