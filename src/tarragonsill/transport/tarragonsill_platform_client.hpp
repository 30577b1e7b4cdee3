#ifndef TARRAGONSILL_PLATFORM_CLIENT_HPP_INCLUDED
#define TARRAGONSILL_PLATFORM_CLIENT_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_membership.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_store_position.hpp"
#include "tarragonsill/state/tarragonsill_token_bucket.hpp"
#include "tarragonsill/transport/tarragonsill_http_connection.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Client of the platform's object API, which is HTTP and JSON with versions,
/// conditional writes (`If-Match`) and watches (long polls).
namespace tarragonsill {

/// A stored object.
struct PlatformObject
{
  /// The store's era in which this version was written, and the version. After
  /// a store rollback, versions are assigned again, with a higher era.
  StorePosition mPosition;
  /// The change ids of the latest writes up to this version, oldest first;
  /// bounded.
  std::vector<std::string> mChanges;
  std::string mText;
};

/// The outcome of a conditional write.
struct WriteOutcome
{
  /// Whether the write took effect, even if a later write replaced it.
  bool mApplied = false;
  /// The object as it is after the write or the conflict.
  PlatformObject mCurrent;
};

class PlatformClient
{
public:
  struct Options
  {
    Endpoint mAddress;
    milliseconds mTimeout{ 1000 };
    std::uint32_t mCallsPerSecond = 20;
    std::uint64_t mSeed = 1;
    /// Returns whether an address is in a denied network; may be empty.
    std::function<bool(Endpoint)> mIsDenied;
  };

  PlatformClient(Options aOptions, Counters& aCounters);

  /// Reads an object. Fails with `NotFound`, `Unavailable`, `Timeout`,
  /// `LimitReached` (the client's call budget is exhausted) or `Malformed`.
  Result<PlatformObject> Read(std::string const& aName);
  /// Waits until the object has a position above `aNewerThan`. Fails with
  /// `Timeout` if it has none within `aWait`.
  Result<PlatformObject> Watch(std::string const& aName,
                               StorePosition aNewerThan,
                               milliseconds aWait);
  /// Writes the object if it is still at the position of `aExpected` (unset: if
  /// it is absent). After a lost answer the client reads the object and looks
  /// for the change id; it never writes again. Fails with `Conflict` if the
  /// store was rolled back meanwhile: the change is lost and must be made again
  /// on the restored object.
  Result<WriteOutcome> Write(std::string const& aName,
                             PlatformObject const& aExpected,
                             std::string const& aChangeId,
                             std::string const& aText);
  /// Reads the platform's list of VMs, which may lag behind.
  Result<std::vector<PlatformVm>> ListVms();

  /// Returns the delay before the next attempt after `aFailures` consecutive
  /// failures: exponential backoff with full jitter.
  milliseconds Backoff(unsigned aFailures);

private:
  Result<HttpResponse> Get(std::string const& aPath, milliseconds aTimeout);
  /// Takes one call from the call budget. Fails with `Unavailable` if the
  /// platform is in a denied network, or with `LimitReached`.
  Result<Success> AdmitCall();
  /// Reads the object to determine whether a write whose answer was lost took
  /// effect.
  Result<WriteOutcome> ResolveLostAnswer(std::string const& aName,
                                         StorePosition aExpected,
                                         std::string const& aChangeId);

  Options mOptions;
  Counters& mCounters;
  std::mutex mMutex;
  TokenBucket mBudget;
  std::mt19937_64 mRandom;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PLATFORM_CLIENT_HPP_INCLUDED
