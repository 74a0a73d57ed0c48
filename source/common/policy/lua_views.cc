#include "common/policy/lua_views.h"

#include <string>

#include "common/policy/lua_library.h"
#include "common/policy/policy_engine.h"

#include <lua.hpp>

namespace umberhold {
namespace {

/** Registry keys of a view: the table with its fields, and the read-only view of that table. */
struct ViewKeys {
  char fields;
  char readOnly;
};
const ViewKeys kHostKeys{};
const ViewKeys kServiceKeys{};

void createViewTable(lua_State* lua, const ViewKeys& keys, int fieldCount) {
  lua_createtable(lua, 0, fieldCount);
  lua_pushvalue(lua, -1);
  lua_rawsetp(lua, LUA_REGISTRYINDEX, &keys.fields);
  makeReadOnly(lua);
  lua_rawsetp(lua, LUA_REGISTRYINDEX, &keys.readOnly);
}

void setText(lua_State* lua, const char* field, const std::string& value) {
  lua_pushlstring(lua, value.data(), value.size());
  lua_setfield(lua, -2, field);
}

void setNumber(lua_State* lua, const char* field, double value) {
  lua_pushnumber(lua, value);
  lua_setfield(lua, -2, field);
}

void setInteger(lua_State* lua, const char* field, uint32_t value) {
  lua_pushinteger(lua, value);
  lua_setfield(lua, -2, field);
}

void setFlag(lua_State* lua, const char* field, bool value) {
  lua_pushboolean(lua, value ? 1 : 0);
  lua_setfield(lua, -2, field);
}

void finishView(lua_State* lua, const ViewKeys& keys) {
  lua_pop(lua, 1);
  lua_rawgetp(lua, LUA_REGISTRYINDEX, &keys.readOnly);
}

}  // namespace

void createViewTables(lua_State* lua) {
  constexpr int kHostFields = 10;
  constexpr int kServiceFields = 6;
  createViewTable(lua, kHostKeys, kHostFields);
  createViewTable(lua, kServiceKeys, kServiceFields);
}

void pushHostView(lua_State* lua, const HostView& host) {
  lua_rawgetp(lua, LUA_REGISTRYINDEX, &kHostKeys.fields);
  setText(lua, "name", host.name);
  setText(lua, "zone", host.zone);
  setInteger(lua, "weight", host.weight);
  setNumber(lua, "load", host.load);
  setInteger(lua, "flows", host.flows);
  setInteger(lua, "connection_limit", host.connectionLimit);
  setFlag(lua, "healthy", host.healthy);
  setFlag(lua, "draining", host.draining);
  setNumber(lua, "age_seconds", host.ageSeconds);
  setFlag(lua, "same_zone", host.sameZone);
  finishView(lua, kHostKeys);
}

void pushServiceView(lua_State* lua, const ServiceView& service, bool filled) {
  if (filled) {
    lua_rawgetp(lua, LUA_REGISTRYINDEX, &kServiceKeys.readOnly);
    return;
  }
  lua_rawgetp(lua, LUA_REGISTRYINDEX, &kServiceKeys.fields);
  setText(lua, "name", service.name);
  setInteger(lua, "hosts", service.hosts);
  setInteger(lua, "healthy_hosts", service.healthyHosts);
  setInteger(lua, "flows", service.flows);
  setInteger(lua, "capacity", service.capacity);
  setNumber(lua, "load", service.load);
  finishView(lua, kServiceKeys);
}

}  // namespace umberhold
