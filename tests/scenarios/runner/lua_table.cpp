// Reading of table arguments and building of tables.
#include "tests/scenarios/runner/lua_table.h"

namespace jackdaw::scenarios {

lua_table::lua_table(lua_State* lua, int index)
    : m_lua(lua)
    , m_index(lua_absindex(lua, index))
{
    luaL_checktype(lua, index, LUA_TTABLE);
}

std::string lua_table::text(const char* member, const std::string& fallback) const
{
    lua_getfield(m_lua, m_index, member);
    std::string value = lua_isstring(m_lua, -1) != 0 ? lua_tostring(m_lua, -1) : fallback;
    lua_pop(m_lua, 1);
    return value;
}

lua_Integer lua_table::integer(const char* member, lua_Integer fallback) const
{
    lua_getfield(m_lua, m_index, member);
    const lua_Integer value = lua_isinteger(m_lua, -1) != 0 ? lua_tointeger(m_lua, -1) : fallback;
    lua_pop(m_lua, 1);
    return value;
}

bool lua_table::boolean(const char* member, bool fallback) const
{
    lua_getfield(m_lua, m_index, member);
    const bool value = lua_isnil(m_lua, -1) ? fallback : lua_toboolean(m_lua, -1) != 0;
    lua_pop(m_lua, 1);
    return value;
}

std::vector<std::string> lua_table::texts(const char* member) const
{
    std::vector<std::string> values;
    lua_getfield(m_lua, m_index, member);
    if (lua_istable(m_lua, -1)) {
        const auto count = static_cast<lua_Integer>(lua_rawlen(m_lua, -1));
        for (lua_Integer i = 1; i <= count; ++i) {
            lua_rawgeti(m_lua, -1, i);
            values.emplace_back(luaL_checkstring(m_lua, -1));
            lua_pop(m_lua, 1);
        }
    }
    lua_pop(m_lua, 1);
    return values;
}

namespace {

    void pushObject(lua_State* lua, const nlohmann::json& value)
    {
        lua_createtable(lua, 0, static_cast<int>(value.size()));
        for (const auto& [name, member] : value.items()) {
            pushJson(lua, member);
            lua_setfield(lua, -2, name.c_str());
        }
    }

    void pushArray(lua_State* lua, const nlohmann::json& value)
    {
        lua_createtable(lua, static_cast<int>(value.size()), 0);
        lua_Integer index = 0;
        for (const nlohmann::json& element : value) {
            pushJson(lua, element);
            lua_rawseti(lua, -2, ++index);
        }
    }

} // namespace

void pushJson(lua_State* lua, const nlohmann::json& value)
{
    luaL_checkstack(lua, 4, "a document is nested too deeply");
    if (value.is_object())
        pushObject(lua, value);
    else if (value.is_array())
        pushArray(lua, value);
    else if (value.is_string())
        lua_pushstring(lua, value.get_ref<const std::string&>().c_str());
    else if (value.is_boolean())
        lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
    else if (value.is_number_integer())
        lua_pushinteger(lua, value.get<lua_Integer>());
    else if (value.is_number())
        lua_pushnumber(lua, value.get<lua_Number>());
    else
        lua_pushnil(lua);
}

} // namespace jackdaw::scenarios
