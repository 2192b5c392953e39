/* runner.h: what the scenario runner gives to Lua. */
#ifndef RUNNER_H
#define RUNNER_H

#include <lua.h>

/* Processes: spawn, signal, wait, alive, free_port. */
void runner_open_process(lua_State *L);

/* Ends every process that was started and is still there. */
void runner_end_all(void);

/* HTTP: call, and start ... wait for calls beside each other. */
void runner_open_http(lua_State *L);

/* A TCP relay whose link can be cut, frozen and delayed. */
void runner_open_relay(lua_State *L);

/* Raw bytes over TCP. */
void runner_open_raw(lua_State *L);

#endif
