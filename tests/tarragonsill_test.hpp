#ifndef TARRAGONSILL_TEST_HPP_INCLUDED
#define TARRAGONSILL_TEST_HPP_INCLUDED

// RapidCheck and the standard library must come before CppUTest, whose memory
// macros would break them.
#include <rapidcheck.h>

#include <string>

#include <CppUTest/TestHarness.h>

/// Helpers for CppUTest with RapidCheck.
namespace tarragonsill {

/// Checks a property with RapidCheck. The environment variable RC_PARAMS sets
/// the seed and the number of cases.
template<typename Property>
void
CheckProperty(char const* aName, Property aProperty)
{
  CHECK_TEXT(rc::check(aName, aProperty), aName);
}

} // namespace tarragonsill

#endif // TARRAGONSILL_TEST_HPP_INCLUDED
