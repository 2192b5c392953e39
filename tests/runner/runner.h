/* runner.h: the parts of the scenario runner: functions for Lua, child processes and disturbances. */
#ifndef RUNNER_H
#define RUNNER_H

#include <lua.h>
#include <stdint.h>

/* Adds to the table on the stack: spawn, signal, wait, port, now, pause, temp_dir. */
void runner_open_process(lua_State *L);

/* Kills every child process that still runs. */
void runner_end_all(void);

/* Number of child processes spawned so far. */
int runner_count(void);

/* Suspends the i-th child process, unless it has ended or the scenario itself suspended it; resumes it. */
void runner_suspend(int i);
void runner_resume(int i);

/* Starts a disturbance, such as a busy machine causes: `text` is a seed from which it is drawn, or its
** description. Returns 0, or -1 when the description cannot be read. */
int runner_disturb(const char *text);

/* Reads "ONE,ALL": the longest pauses to draw, of one process and of all at once, in ms. To be called
** before runner_disturb. Returns 0, or -1 when the text cannot be read. */
int runner_pause_limits(const char *text);

/* Called after the i-th child process was spawned. */
void runner_spawned(int i);

/* Adds http, and http_start and http_wait for concurrent calls; json. */
void runner_open_http(lua_State *L);

/* Adds relay and relay_set: a TCP relay whose link can be cut, frozen and delayed. */
void runner_open_relay(lua_State *L);

/* Adds raw_open, raw_send, raw_read and raw_close: bytes over a TCP connection. */
void runner_open_raw(lua_State *L);

#endif
