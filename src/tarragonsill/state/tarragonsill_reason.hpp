#ifndef TARRAGONSILL_REASON_HPP_INCLUDED
#define TARRAGONSILL_REASON_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_invariant.hpp"

#include <optional>
#include <string>
#include <utility>

/// Results as values: a value, or the reason why there is none.
namespace tarragonsill {

/// Why an operation returned no value.
enum class ReasonCode
{
  None,
  Malformed,     ///< The input does not match its format.
  Invalid,       ///< The input is well-formed but violates a rule.
  NotFound,      ///< The named object does not exist.
  Conflict,      ///< A conditional write found another version.
  Unavailable,   ///< The other side cannot be reached now.
  Timeout,       ///< No answer in time; the effect is unknown.
  LimitReached,  ///< A limit or budget is exhausted.
  SystemFailure, ///< A system call failed.
};

/// A reason code with a text for people.
struct Reason
{
  ReasonCode mCode = ReasonCode::None;
  std::string mText;
};

/// Either a value or the reason for its absence. The packet path uses an
/// enumeration as the reason, so that it builds no texts.
template<typename T, typename R = Reason>
class [[nodiscard]] Result
{
public:
  Result(T aValue)
    : mValue(std::move(aValue))
  {
  }
  Result(R aReason)
    : mReason(std::move(aReason))
  {
  }

  explicit operator bool() const { return mValue.has_value(); }
  bool HasValue() const { return mValue.has_value(); }
  T& Value() { return *mValue; }
  T const& Value() const { return *mValue; }
  T&& Take()
  {
    RequireInvariant(mValue.has_value(), "a result without a value was taken");
    return std::move(*mValue);
  }
  T* operator->() { return &*mValue; }
  T const* operator->() const { return &*mValue; }
  T& operator*() { return *mValue; }
  T const& operator*() const { return *mValue; }

  /// The reason for the absence; default-initialised if there is a value.
  R const& LastReason() const { return mReason; }

private:
  std::optional<T> mValue;
  R mReason{};
};

/// The value of a successful operation that has nothing to return.
struct Success
{};

} // namespace tarragonsill

#endif // TARRAGONSILL_REASON_HPP_INCLUDED
