// The verbs of the scenario language, as global Lua functions. tests/scenarios/README.md lists them.
#pragma once

#include "tests/scenarios/runner/scenario.h"

#include <lua.hpp>

namespace jackdaw::scenarios {

// The scenario must outlive the Lua state.
void registerVerbs(lua_State* lua, scenario& target);

} // namespace jackdaw::scenarios
