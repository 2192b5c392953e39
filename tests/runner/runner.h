/* runner.h: what the scenario runner gives to Lua. */
#ifndef RUNNER_H
#define RUNNER_H

#include <lua.h>
#include <stdint.h>

/* Processes: spawn, signal, wait, alive, free_port. */
void runner_open_process(lua_State *L);

/* Ends every process that was started and is still there. */
void runner_end_all(void);

/* How many processes were spawned so far. */
int runner_count(void);

/* Has the i-th one stand still, unless it has ended or the scenario stopped it; and go on. */
void runner_hold(int i);
void runner_release(int i);

/* Draws from a seed what a busy machine does to the processes, or reads it, and does it. 0, or -1:
** it cannot be read. */
int runner_disturb(const char *text);

/* Reads "ONE,ALL": the longest pauses that are drawn, of one process and of all at once, ms; called
** before runner_disturb. 0, or -1: it cannot be read. */
int runner_hold_most(const char *text);

/* The i-th process was spawned. */
void runner_spawned(int i);

/* HTTP: call, and start ... wait for calls beside each other. */
void runner_open_http(lua_State *L);

/* A TCP relay whose link can be cut, frozen and delayed. */
void runner_open_relay(lua_State *L);

/* Raw bytes over TCP. */
void runner_open_raw(lua_State *L);

#endif
