#include "common/policy/lua_library.h"

#include <lua.hpp>

namespace umberhold {
namespace {

constexpr const char* kBaseFunctions[] = {"assert", "error",    "ipairs",   "next", "pairs",
                                          "select", "tonumber", "tostring", "type"};
constexpr const char* kStringFunctions[] = {"byte", "len", "lower", "sub", "upper"};
constexpr const char* kMathFunctions[] = {
    "abs", "ceil", "exp",  "floor", "fmod", "huge", "log",       "max",        "min", "modf",
    "pi",  "sqrt", "type", "ult",   "cos",  "sin",  "tointeger", "maxinteger", "tan", "mininteger"};

int raiseReadOnly(lua_State* lua) {
  return luaL_error(lua, "this table is read-only");
}

int raiseUnknownName(lua_State* lua) {
  const char* name = lua_type(lua, 2) == LUA_TSTRING ? lua_tostring(lua, 2) : "?";
  return luaL_error(lua, "unknown name '%s'", name);
}

/** clamp(value, low, high). */
int clamp(lua_State* lua) {
  const lua_Number value = luaL_checknumber(lua, 1);
  const lua_Number low = luaL_checknumber(lua, 2);
  const lua_Number high = luaL_checknumber(lua, 3);
  luaL_argcheck(lua, low <= high, 3, "less than the lower bound");
  lua_pushnumber(lua, value < low ? low : (value > high ? high : value));
  return 1;
}

/** ramp(age, seconds): rises linearly from 0 to 1 as age goes from 0 to seconds. */
int ramp(lua_State* lua) {
  const lua_Number age = luaL_checknumber(lua, 1);
  const lua_Number seconds = luaL_checknumber(lua, 2);
  if (age >= seconds) {
    lua_pushnumber(lua, 1.0);
    return 1;
  }
  lua_pushnumber(lua, age <= 0.0 ? 0.0 : age / seconds);
  return 1;
}

/** Replaces the table on top of the stack with a new one that has only the named fields. */
template <size_t kCount>
void keepOnly(lua_State* lua, const char* const (&names)[kCount]) {
  lua_createtable(lua, 0, kCount);
  for (const char* name : names) {
    lua_getfield(lua, -2, name);
    lua_setfield(lua, -2, name);
  }
  lua_remove(lua, -2);
}

void openLibrary(lua_State* lua, lua_CFunction open) {
  lua_pushcfunction(lua, open);
  lua_call(lua, 0, 1);
}

/** Restricts the methods of string values, as in name:sub(1, 3), to the library's functions. */
void limitStringMethods(lua_State* lua) {
  lua_pushliteral(lua, "");
  lua_getmetatable(lua, -1);
  lua_pushvalue(lua, -3);
  lua_setfield(lua, -2, "__index");
  lua_pop(lua, 2);
}

void addFunction(lua_State* lua, const char* name, lua_CFunction function) {
  lua_pushcfunction(lua, function);
  lua_setfield(lua, -2, name);
}

}  // namespace

void makeReadOnly(lua_State* lua) {
  lua_createtable(lua, 0, 0);
  lua_createtable(lua, 0, 2);
  lua_pushvalue(lua, -3);
  lua_setfield(lua, -2, "__index");
  lua_pushcfunction(lua, &raiseReadOnly);
  lua_setfield(lua, -2, "__newindex");
  lua_setmetatable(lua, -2);
  lua_remove(lua, -2);
}

void pushPolicyLibrary(lua_State* lua) {
  openLibrary(lua, luaopen_base);
  keepOnly(lua, kBaseFunctions);
  openLibrary(lua, luaopen_math);
  keepOnly(lua, kMathFunctions);
  lua_getfield(lua, -1, "max");
  lua_setfield(lua, -3, "max");
  lua_getfield(lua, -1, "min");
  lua_setfield(lua, -3, "min");
  makeReadOnly(lua);
  lua_setfield(lua, -2, "math");
  openLibrary(lua, luaopen_string);
  keepOnly(lua, kStringFunctions);
  limitStringMethods(lua);
  makeReadOnly(lua);
  lua_setfield(lua, -2, "string");
  addFunction(lua, "clamp", &clamp);
  addFunction(lua, "ramp", &ramp);
  lua_createtable(lua, 0, 1);
  lua_pushcfunction(lua, &raiseUnknownName);
  lua_setfield(lua, -2, "__index");
  lua_setmetatable(lua, -2);
}

}  // namespace umberhold
