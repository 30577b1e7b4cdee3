#ifndef TARRAGONSILL_ENTRY_STATE_HPP_INCLUDED
#define TARRAGONSILL_ENTRY_STATE_HPP_INCLUDED

#include "tarragonsill/transport/tarragonsill_actor_messages.hpp"
#include "tarragonsill/transport/tarragonsill_packet_worker.hpp"

#include <memory>
#include <mutex>
#include <string>

/// State that the parts of one entry VM share with each other and with the
/// status server. All members are thread-safe; the settings are constant after
/// the start.
namespace tarragonsill {

/// A value that is read and replaced as a whole, under a mutex.
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

/// The state of the control plane as shown on the status page.
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

/// The text of the configuration in force, for peers that fetch it.
struct ConfigurationText
{
  StorePosition mPosition;
  std::string mText;
};

struct EntryState
{
  Settings mSettings;
  /// Networks whose traffic is currently denied.
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
