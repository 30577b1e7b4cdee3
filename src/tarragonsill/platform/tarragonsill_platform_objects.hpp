#ifndef TARRAGONSILL_PLATFORM_OBJECTS_HPP_INCLUDED
#define TARRAGONSILL_PLATFORM_OBJECTS_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_stored_object.hpp"

/// The paths and bodies (JSON) of the platform's object store.
namespace tarragonsill::Platform {

struct ObjectFormat
{
  /// The path and query of a call.
  static std::string Path(ObjectQuery const& aQuery);
  /// In all answers of the store; rises when it comes back from an older copy.
  static constexpr char const* kEraHeader = "store-era";
  static std::optional<std::uint64_t> ReadEra(std::string const& aText);
  /// Decodes an answer of an era. An object that cannot be used becomes an
  /// `InvalidRecord`; the reason `Malformed` is for the answer as a whole.
  static Result<ObjectPage> Decode(ObjectQuery const& aQuery,
                                   std::uint64_t aEra,
                                   std::string const& aBody);
};

static_assert(ObjectStoreFormat<ObjectFormat>);

} // namespace tarragonsill::Platform

#endif // TARRAGONSILL_PLATFORM_OBJECTS_HPP_INCLUDED
