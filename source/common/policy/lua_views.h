/** @file Provides a policy with views of its host and service. */
#pragma once

struct lua_State;

namespace umberhold {

struct HostView;
struct ServiceView;

/** Creates the two tables that all calls reuse. Like all functions of this file, for protected
 * calls only.
 */
void createViewTables(lua_State* lua);
/** Fills the host's table and pushes its read-only view. */
void pushHostView(lua_State* lua, const HostView& host);
/** Fills the service's table, unless `filled`, and pushes its read-only view. */
void pushServiceView(lua_State* lua, const ServiceView& service, bool filled);

}  // namespace umberhold
