#ifndef TARRAGONSILL_REASON_HPP_INCLUDED
#define TARRAGONSILL_REASON_HPP_INCLUDED

#include <optional>
#include <string>
#include <utility>

/// Outcomes as values: an optional value together with the last reason.
namespace tarragonsill {

/// Why an operation gave no value.
enum class ReasonCode
{
  None,
  Malformed,     ///< The input does not follow its format.
  Invalid,       ///< Well-formed input that breaks a rule.
  NotFound,      ///< The named object does not exist.
  Conflict,      ///< A conditional write met another version.
  Unavailable,   ///< The other side cannot be reached at present.
  Timeout,       ///< No answer arrived in time; the effect is unknown.
  LimitReached,  ///< A limit or budget is used up.
  SystemFailure, ///< The operating system refused a call.
};

/// A typed code with a text for people.
struct Reason
{
  ReasonCode mCode = ReasonCode::None;
  std::string mText;
};

/// Either a value or the reason for its absence. Code on the packet path uses
/// an enumeration as the reason, so that no text is built there.
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
  T&& Take() { return std::move(*mValue); }
  T* operator->() { return &*mValue; }
  T const* operator->() const { return &*mValue; }
  T& operator*() { return *mValue; }
  T const& operator*() const { return *mValue; }

  /// The last reason; default-initialised when there is a value.
  R const& LastReason() const { return mReason; }

private:
  std::optional<T> mValue;
  R mReason{};
};

/// The outcome of an operation that produces no value.
struct Success
{};

} // namespace tarragonsill

#endif // TARRAGONSILL_REASON_HPP_INCLUDED
