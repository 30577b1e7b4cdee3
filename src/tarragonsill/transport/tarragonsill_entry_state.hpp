#ifndef TARRAGONSILL_ENTRY_STATE_HPP_INCLUDED
#define TARRAGONSILL_ENTRY_STATE_HPP_INCLUDED

#include "tarragonsill/transport/tarragonsill_actor_messages.hpp"
#include "tarragonsill/transport/tarragonsill_packet_worker.hpp"

#include <memory>
#include <mutex>
#include <string>

/// What the parts of one entry VM publish to each other and to the status
/// page. All members are safe to use from any thread.
namespace tarragonsill {

/// A value that is published as a whole.
template<typename T>
class SynchronizedValue
{
public:
  void Set(T aValue)
  {
    std::lock_guard const lock(mMutex);
    mValue = std::move(aValue);
  }
  T Value() const
  {
    std::lock_guard const lock(mMutex);
    return mValue;
  }

private:
  mutable std::mutex mMutex;
  T mValue{};
};

/// The state of the coordination for the status page.
struct EntryStatus
{
  Member mSelf;
  std::vector<Member> mMembers;
  std::uint64_t mVersion = 0;
  AdmissionLeases mLeases;
  std::vector<UpstreamOpenWork> mOpenWork;
  std::size_t mExceptions = 0;
  std::size_t mWorkerMemoryBytes = 0;
  bool mIsWatcher = false;
  bool mIsHandoverComplete = false;
};

/// The text of the configuration in force, as peers may fetch it.
struct ConfigurationText
{
  StorePosition mPosition;
  std::string mText;
};

struct EntryState
{
  Settings mSettings;
  /// The networks that are fenced off at present.
  SynchronizedValue<std::vector<Prefix>> mDenied;
  Counters mCounters;
  SynchronizedValue<EntryStatus> mStatus;
  SynchronizedValue<CallView> mView;
  SynchronizedValue<ConfigurationText> mConfigurationText;

  bool IsDenied(Endpoint aEndpoint) const
  {
    return AnyContains(mDenied.Value(), aEndpoint.mAddress);
  }
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ENTRY_STATE_HPP_INCLUDED
