#ifndef TARRAGONSILL_PLATFORM_OBJECTS_HPP_INCLUDED
#define TARRAGONSILL_PLATFORM_OBJECTS_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_stored_object.hpp"

/// The HTTP paths and JSON bodies of the platform's object store.
namespace tarragonsill::Platform {

struct ObjectFormat
{
  /// Returns the path and query string of a call.
  static std::string Path(ObjectQuery const& aQuery);
  /// Header of all answers of the store. The era rises with a store rollback.
  static constexpr char const* kEraHeader = "store-era";
  /// Parses the value of the header; nothing if it is not a whole number.
  static std::optional<std::uint64_t> ReadEra(std::string const& aText);
  /// Decodes an answer of the given era. Each malformed object becomes an
  /// `InvalidRecord`; decoding fails only if the answer itself is malformed.
  static Result<ObjectPage> Decode(ObjectQuery const& aQuery,
                                   std::uint64_t aEra,
                                   std::string const& aBody);
};

static_assert(ObjectStoreFormat<ObjectFormat>);

} // namespace tarragonsill::Platform

#endif // TARRAGONSILL_PLATFORM_OBJECTS_HPP_INCLUDED
