/* runner.c: runs one scenario written in Lua against the real programs. */
#include "runner.h"

#include <lauxlib.h>
#include <lualib.h>
#include <ne_socket.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int add_path(lua_State *L, const char *script) {
  const char *slash = strrchr(script, '/');
  lua_getglobal(L, "package");
  lua_pushfstring(
      L, "tests/scenarios/?.lua;%s?.lua",
      slash ? lua_pushlstring(L, script, (size_t)(slash - script + 1)) : "");
  lua_setfield(L, 1, "path");
  lua_settop(L, 0);
  return 0;
}

/* Calls run.on_fail if the scenario has set it. */
static void call_on_fail(lua_State *L) {
  lua_getglobal(L, "run");
  lua_getfield(L, -1, "on_fail");
  if (lua_isfunction(L, -1))
    lua_pcall(L, 0, 0, 0);
}

/* Message handler of lua_pcall: adds the stack traceback to an error. */
static int add_traceback(lua_State *L) {
  luaL_traceback(L, L, lua_tostring(L, 1), 1);
  return 1;
}

static int run_script(lua_State *L, const char *script) {
  lua_pushcfunction(L, add_traceback);
  int rc = luaL_loadfile(L, script);
  return rc == LUA_OK ? lua_pcall(L, 0, 0, 1) : rc;
}

int main(int argc, char **argv) {
  const char *bin = "build";
  int keep = 0;
  const char *script = NULL;
  const char *disturb = NULL;      /* seed or description; NULL: none */
  const char *pause_limits = NULL; /* longest pauses; NULL: the defaults */
  for (int i = 1; i < argc; i++) {
    if (!strcmp(argv[i], "--bin") && i + 1 < argc)
      bin = argv[++i];
    else if (!strcmp(argv[i], "--disturb") && i + 1 < argc)
      disturb = argv[++i];
    else if (!strcmp(argv[i], "--hold-most") && i + 1 < argc)
      pause_limits = argv[++i];
    else if (!strcmp(argv[i], "--keep"))
      keep = 1;
    else
      script = argv[i];
  }
  if (!script || (pause_limits && runner_pause_limits(pause_limits) != 0) ||
      (disturb && runner_disturb(disturb) != 0)) {
    fprintf(stderr, "usage: pwscenario [--bin DIR] [--keep] "
                    "[--hold-most ONE_MS,ALL_MS] [--disturb "
                    "SEED|KIND,AFTER_MS,HOLD_MS,TIMES,GAP_MS,PROCESS] FILE\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  ne_sock_init();
  lua_State *L = luaL_newstate();
  luaL_openlibs(L);
  lua_newtable(L);
  runner_open_process(L);
  runner_open_http(L);
  runner_open_relay(L);
  runner_open_raw(L);
  lua_pushstring(L, bin);
  lua_setfield(L, -2, "bin");
  lua_pushboolean(L, keep);
  lua_setfield(L, -2, "keep");
  lua_setglobal(L, "run");
  add_path(L, script);
  int rc = run_script(L, script);
  if (rc != LUA_OK) {
    fprintf(stderr, "%s: %s\n", script, lua_tostring(L, -1));
    call_on_fail(L);
  }
  if (!keep || rc != LUA_OK)
    runner_end_all();
  fflush(stdout);
  _Exit(rc == LUA_OK ? 0 : 1); /* relay threads still run */
}
