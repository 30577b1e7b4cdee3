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

/// Client of the platform's object API: HTTP and JSON, versions, conditional
/// writes (`If-Match`) and watches (long polls).
namespace tarragonsill {

/// A stored object.
struct PlatformObject
{
  /// The era of the platform in which this version was written, and the
  /// version. A platform that comes back from an older copy of itself gives
  /// versions out again, with a higher era.
  StorePosition mPosition;
  /// The writes that led to this version, the latest one last; bounded.
  std::vector<std::string> mChanges;
  std::string mText;
};

/// The outcome of a conditional write.
struct WriteOutcome
{
  /// Whether the write took effect, even if another one followed it.
  bool mWon = false;
  /// The object in force afterwards.
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
    /// Says whether the platform is fenced off; may be empty.
    std::function<bool(Endpoint)> mIsDenied;
  };

  PlatformClient(Options aOptions, Counters& aCounters);

  /// Reads an object. Reasons: `NotFound`, `Unavailable`, `Timeout`,
  /// `LimitReached` (the own budget), `Malformed`.
  Result<PlatformObject> Read(std::string const& aName);
  /// Waits for a position above `aNewerThan`; `Timeout` if there is none in
  /// time.
  Result<PlatformObject> Watch(std::string const& aName,
                               StorePosition aNewerThan,
                               milliseconds aWait);
  /// Writes on condition that the object is still at the position of
  /// `aExpected` (unset: absent). A lost answer is settled by reading back the
  /// change id, never by writing again. The reason is `Conflict` if the
  /// platform came back from an older copy meanwhile: the change is lost, and
  /// has to be made anew on what the copy holds.
  Result<WriteOutcome> Write(std::string const& aName,
                             PlatformObject const& aExpected,
                             std::string const& aChangeId,
                             std::string const& aText);
  /// The lagging list of VMs.
  Result<std::vector<PlatformVm>> ListVms();

  /// The pause before the next attempt after `aFailures` failures in a row:
  /// exponential with full jitter.
  milliseconds Backoff(unsigned aFailures);

private:
  Result<HttpResponse> Get(std::string const& aPath, milliseconds aTimeout);
  bool TakeBudget();
  Result<WriteOutcome> SettleLostAnswer(std::string const& aName,
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
