// Runs one scenario file: scenario_runner FILE. Exit code 0 when it passes, 1 when it fails, 2 on wrong usage.
#include "tests/scenarios/runner/scenario.h"
#include "tests/scenarios/runner/scenario_verbs.h"

#include <cstdio>
#include <memory>

namespace {

// Checks that scenarios share.
constexpr const char* prelude = R"(
function expect(condition, text)
    if not condition then error(text, 2) end
end

function expect_equal(actual, wanted, text)
    if actual ~= wanted then
        error(text .. ": " .. tostring(actual) .. " instead of " .. tostring(wanted), 2)
    end
end

-- A complete answer with every task's own result in its place.
function is_whole(document, tasks)
    if document.state ~= "complete" or #document.results ~= tasks then return false end
    for i = 1, tasks do
        if document.results[i] ~= "r" .. (i - 1) then return false end
    end
    return true
end

function expect_whole(document, tasks, text)
    expect(is_whole(document, tasks), text .. ": " .. tostring(document.state) .. " " .. tostring(document.error))
end
)";

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::fprintf(stderr, "usage: scenario_runner FILE\n");
        return 2;
    }
    jackdaw::scenarios::scenario target;
    const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), &lua_close);
    luaL_openlibs(lua.get());
    jackdaw::scenarios::registerVerbs(lua.get(), target);
    if (luaL_dostring(lua.get(), prelude) == LUA_OK && luaL_dofile(lua.get(), argv[1]) == LUA_OK) {
        std::printf("passed: %s\n", argv[1]);
        return 0;
    }
    std::fprintf(stderr, "failed: %s\n", lua_tostring(lua.get(), -1));
    return 1;
}
