// Moves values between C++ and Lua: options out of a table argument, JSON documents into tables.
#pragma once

#include <lua.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jackdaw::scenarios {

// Reads the members of the table at a stack index. An absent member yields the fallback.
class lua_table {
public:
    lua_table(lua_State* lua, int index);

    std::string text(const char* member, const std::string& fallback) const;
    lua_Integer integer(const char* member, lua_Integer fallback) const;
    bool boolean(const char* member, bool fallback) const;
    std::vector<std::string> texts(const char* member) const;

private:
    lua_State* m_lua;
    int m_index; // absolute
};

// Pushes one value: objects and arrays become tables, null becomes nil.
void pushJson(lua_State* lua, const nlohmann::json& value);

} // namespace jackdaw::scenarios
