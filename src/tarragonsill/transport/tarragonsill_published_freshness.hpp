#ifndef TARRAGONSILL_PUBLISHED_FRESHNESS_HPP_INCLUDED
#define TARRAGONSILL_PUBLISHED_FRESHNESS_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_store_freshness.hpp"

#include <mutex>
#include <utility>

/// The confirmed positions that the node actor knows, for the threads that
/// watch the store. Thread-safe.
namespace tarragonsill {

class PublishedFreshness
{
public:
  void Publish(StoreFreshness aFreshness)
  {
    std::lock_guard const lock(mMutex);
    mFreshness = std::move(aFreshness);
  }
  TimePoint CurrentAsOf(StorePosition aCompleteTo) const
  {
    std::lock_guard const lock(mMutex);
    return mFreshness.CurrentAsOf(aCompleteTo);
  }

private:
  mutable std::mutex mMutex;
  StoreFreshness mFreshness;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PUBLISHED_FRESHNESS_HPP_INCLUDED
