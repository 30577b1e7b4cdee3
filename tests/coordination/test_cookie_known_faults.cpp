#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Tests of faults that are known and not fixed yet; see KNOWN-RED.txt.
TEST_GROUP_BASE(CookieKnownFaults, CookieFixture){};
