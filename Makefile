# Makefile: builds, tests and measures peatwell. `make help` lists targets.

BUILD ?= build
JOBS ?= $(shell nproc)
CC = gcc
CXX = g++
SAN ?=
OPT ?= -O2

PKGS = libzmq gnutls neon jansson libsodium libprotobuf-c liburcu-bp libzstd
INC = $(addprefix -Ipackages/,core policy consensus store wire http net site \
  membership daemon entry agent control gateway cli) -Iplatform
CPPFLAGS += $(INC) -Itests
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wvla -Werror=implicit-function-declaration
CFLAGS += -std=gnu11 -g $(OPT) $(WARN) $(SAN) $(shell pkg-config --cflags $(PKGS))
CXXFLAGS += -std=c++17 -g $(OPT) -Wall $(SAN)
LDFLAGS += $(SAN)
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lurcu-common -lxxhash -lev -lhttp_parser -lpthread -lm

CORE = $(wildcard packages/core/*.c) packages/core/pwtoml.cc
LIBS = $(CORE) $(wildcard packages/policy/*.c packages/consensus/*.c \
  packages/store/*.c packages/wire/*.c packages/http/*.c packages/net/*.c \
  packages/site/*.c packages/membership/*.c packages/gateway/*.c platform/*.c)
DAEMON = $(filter-out %/peatwelld.c,$(wildcard packages/daemon/*.c \
  packages/entry/*.c packages/agent/*.c packages/control/*.c))
CLI = $(filter-out %/peatwell.c,$(wildcard packages/cli/*.c))

obj = $(patsubst %.cc,$(BUILD)/%.o,$(patsubst %.c,$(BUILD)/%.o,$(1)))

ALL_LIB = $(BUILD)/libpeatwell.a
BINS = $(BUILD)/peatwelld $(BUILD)/peatwell
FAKES = $(BUILD)/fake-engine $(BUILD)/fake-service $(BUILD)/fake-target \
  $(addprefix $(BUILD)/peatwelld-,skewed hanging slow)
TESTS = $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test_*.c))
RUNNER = $(BUILD)/pwscenario

MAKEFLAGS += --no-builtin-rules
.SECONDARY:
.PHONY: all bench-pick bench-policy bench-overload bench-path bench-control bench-ledger bench-fleet-many deps demo demo-keep test scenarios check mutations fuzz soak soak-seeds pauses rounds capacity install deb sanitized format lint help clean

all: $(BINS)

help:
	@echo "make demo       run the whole path once, on loopback"
	@echo "make demo-keep  the same, left running"
	@echo "make test       all tests; ends with 'N passed, N failed'"
	@echo "make lint       clang-format and clang-tidy"

deps:
	@tools/install-packages

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	@echo "  CXX $<"
	@$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(ALL_LIB): $(call obj,$(LIBS) $(DAEMON) $(CLI))
	@rm -f $@
	@ar rcs $@ $^

$(addprefix $(BUILD)/,peatwelld peatwelld-skewed peatwelld-hanging peatwelld-slow): $(BUILD)/packages/daemon/peatwelld.o $(ALL_LIB)
	@echo "  LD $@"
	@$(CXX) $(LDFLAGS) -o $@ $(filter %.o,$^) $(ALL_LIB) -largtable2 $(LDLIBS)

# The daemon with a clock that scenarios set ahead, as a suspended host does.
$(BUILD)/peatwelld-skewed: $(BUILD)/tests/fakes/skewed_clock.o

# The daemon with a disk whose syncs hang for a while.
$(BUILD)/peatwelld-hanging: $(BUILD)/tests/fakes/hanging_disk.o

# The daemon on a small share of a processor.
$(BUILD)/peatwelld-slow: $(BUILD)/tests/fakes/slow_processor.o

$(BUILD)/peatwell: $(BUILD)/packages/cli/peatwell.o $(ALL_LIB)
	@echo "  LD $@"
	@$(CXX) $(LDFLAGS) -o $@ $^ -largtable2 $(LDLIBS)

$(BUILD)/fake-%: $(BUILD)/tests/fakes/fake_%.o $(ALL_LIB)
	@echo "  LD $@"
	@$(CXX) $(LDFLAGS) -o $@ $(filter %.o,$^) $(ALL_LIB) $(LDLIBS)

$(BUILD)/fake-engine: $(addprefix $(BUILD)/tests/fakes/,models.o cachelog.o)
$(BUILD)/fake-engine: LDLIBS += -lmicrohttpd

$(RUNNER): $(call obj,$(wildcard tests/runner/*.c)) $(ALL_LIB)
	@echo "  LD $@"
	@$(CXX) $(LDFLAGS) -o $@ $^ $(shell pkg-config --libs lua5.4) $(LDLIBS)

$(BUILD)/tests/runner/%.o: CFLAGS += $(shell pkg-config --cflags lua5.4)

$(BUILD)/test_%: $(BUILD)/tests/test_%.o $(ALL_LIB)
	@echo "  LD $@"
	@$(CXX) $(LDFLAGS) -o $@ $(filter %.o,$^) $(ALL_LIB) -lcunit $(LDLIBS)

$(BUILD)/test_consensus $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test_consensus_*.c)): \
  $(BUILD)/tests/group_model.o

$(BUILD)/bench_%: $(BUILD)/bench/bench_%.o $(ALL_LIB)
	@echo "  LD $@"
	@$(CXX) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# Routing and admission decisions against naive policies; the same result each run.
bench-policy: $(BUILD)/bench_policy
	$(BUILD)/bench_policy all docs/results.svg

# Load curves of gateways in front of model engines; the same result each run.
bench-overload: $(BUILD)/bench_overload
	$(BUILD)/bench_overload docs/overload.svg docs/overload-large.svg

# Cost of a request at a gateway by the number of targets.
bench-pick: $(BUILD)/bench_pick
	$(BUILD)/bench_pick

# Latency and throughput through peatwell against direct calls to the fake engine.
bench-path: all $(FAKES) $(RUNNER) $(BUILD)/bench_path
	$(RUNNER) --bin $(BUILD) bench/path.lua

# The control group: changes, claims, failover, resource use of each role.
bench-control: all $(FAKES) $(RUNNER)
	$(RUNNER) --bin $(BUILD) bench/control.lua

# The once-ledger at its size limit: time of a claim, memory, snapshot.
bench-ledger: $(BUILD)/bench_ledger
	$(BUILD)/bench_ledger

# bench-control with 152 processes of peatwell and 141 fakes; then all of them
# restarted under load, and a tenth of the targets killed.
bench-fleet-many: all $(FAKES) $(RUNNER)
	PW_ENTRIES=8 PW_ENGINES=140 $(RUNNER) --bin $(BUILD) bench/control.lua
	PW_ENTRIES=8 PW_ENGINES=140 $(RUNNER) --bin $(BUILD) bench/fleet.lua

demo: deps
	@$(MAKE) --no-print-directory -j$(JOBS) all $(FAKES) $(RUNNER)
	$(RUNNER) --bin $(BUILD) examples/demo/demo.lua

demo-keep: deps
	@$(MAKE) --no-print-directory -j$(JOBS) all $(FAKES) $(RUNNER)
	$(RUNNER) --bin $(BUILD) --keep examples/demo/demo.lua

test: deps
	@$(MAKE) --no-print-directory -j$(JOBS) check

check: all $(FAKES) $(RUNNER) $(TESTS)
	@tools/run-tests $(BUILD)

# Compiles in deliberate faults, one at a time, that the tests must catch.
mutations:
	@mkdir -p $(BUILD)
	@tools/run-mutations $(BUILD) $(CC) $(CPPFLAGS) $(CFLAGS) -- -lcunit $(LDLIBS)

# Writes the measured figures that docs/CAPACITY.md and docs/RESULTS.md quote.
capacity: all $(FAKES) $(RUNNER) $(BUILD)/bench_path $(BUILD)/bench_policy $(BUILD)/bench_ledger
	PW_ENTRIES=4 PW_ENGINES=20 $(RUNNER) --bin $(BUILD) bench/control.lua >docs/measured/control-28.md
	PW_ENTRIES=8 PW_ENGINES=140 $(RUNNER) --bin $(BUILD) bench/control.lua >docs/measured/control-152.md
	PW_ENTRIES=8 PW_ENGINES=140 $(RUNNER) --bin $(BUILD) bench/fleet.lua >docs/measured/fleet-151.md
	$(RUNNER) --bin $(BUILD) bench/path.lua >docs/measured/path.md
	$(BUILD)/bench_ledger >docs/measured/ledger.md
	$(BUILD)/bench_policy all docs/results.svg >docs/measured/policy.md

# Fuzzes the parsers of outside input, with a fixed seed and number of runs.
FUZZ_SOURCES = tests/fuzz/fuzz_parsers.c packages/wire/peatwell.pb-c.c packages/wire/pwpb.c \
  $(wildcard packages/store/*.c packages/consensus/*.c packages/core/*.c) \
  $(addprefix packages/policy/,pwbuflimits.c pwcache.c pwchat.c pwquarantine.c pwpartrow.c pwparts.c) packages/daemon/pwsuspects.c packages/daemon/pwpartsmsg.c packages/agent/pwkvfeed.c packages/http/pwfetch.c \
  packages/gateway/pwgossipmsg.c packages/membership/pwloads.c \
  $(wildcard packages/net/*.c packages/site/*.c platform/*.c)
FUZZ_FLAGS = -g -O1 -fsanitize=fuzzer,address,undefined
fuzz:
	@mkdir -p $(BUILD)/fuzz/corpus
	@clang++ $(FUZZ_FLAGS) -fno-sanitize=vptr,function $(CPPFLAGS) -std=c++17 -c -o $(BUILD)/fuzz/pwtoml.o packages/core/pwtoml.cc
	@clang $(FUZZ_FLAGS) $(CPPFLAGS) -std=gnu11 $(shell pkg-config --cflags $(PKGS)) \
	  -o $(BUILD)/fuzz_parsers $(FUZZ_SOURCES) $(BUILD)/fuzz/pwtoml.o $(LDLIBS) -lstdc++
	$(BUILD)/fuzz_parsers -seed=1 -runs=300000 -max_len=512 -print_final_stats=1 -dict=tests/fuzz/http.dict \
	  -artifact_prefix=$(BUILD)/fuzz/ $(BUILD)/fuzz/corpus tests/fuzz/seeds >$(BUILD)/fuzz.log 2>&1 || \
	  { tail -40 $(BUILD)/fuzz.log; exit 1; }
	@tail -3 $(BUILD)/fuzz.log

# Runs all scenarios TIMES times, until one fails.
TIMES ?= 20
rounds: all $(FAKES) $(RUNNER)
	@for i in $$(seq $(TIMES)); do tools/run-tests $(BUILD) scenarios || exit 1; done

# Injects random faults, drawn from SEED, into a fleet of real programs under load.
SEED ?= 1
MINUTES ?= 0.5
PROCESSES ?= 14
soak: all $(FAKES) $(RUNNER)
	SEED=$(SEED) MINUTES=$(MINUTES) PROCESSES=$(PROCESSES) $(RUNNER) --bin $(BUILD) tests/soak.lua

# Soak runs, four at once, of the seeds that failed before.
soak-seeds: all $(FAKES) $(RUNNER)
	@sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/soak-seeds.txt | xargs -P 4 -I{} \
	  sh -c 'SEED={} MINUTES=$(MINUTES) PROCESSES=$(PROCESSES) $(RUNNER) --bin $(BUILD) tests/soak.lua'

# Scenarios with pauses longer than peatwell tolerates, four at once: seeds that failed before, and one
# of each kind.
pauses: all $(FAKES) $(RUNNER)
	@sed '/^#/d' tests/pause-seeds.txt | cut -d' ' -f1-3 | xargs -P 4 -L 1 \
	  sh -c '$(RUNNER) --bin $(BUILD) --hold-most "$$2" --disturb "$$1" "tests/scenarios/$$0.lua"'

# The same tests under AddressSanitizer and UndefinedBehaviorSanitizer.
SANITIZE = -fsanitize=address,undefined -fno-sanitize-recover=undefined \
  -fno-omit-frame-pointer
sanitized:
	@$(MAKE) --no-print-directory BUILD=build-san OPT=-O1 SAN="$(SANITIZE)" \
	  check

PREFIX ?= /usr/local
install: all
	install -D -m 755 $(BUILD)/peatwelld $(DESTDIR)$(PREFIX)/bin/peatwelld
	install -D -m 755 $(BUILD)/peatwell $(DESTDIR)$(PREFIX)/bin/peatwell
	install -D -m 644 man/peatwell.1 $(DESTDIR)$(PREFIX)/share/man/man1/peatwell.1
	install -D -m 644 man/peatwelld.8 $(DESTDIR)$(PREFIX)/share/man/man8/peatwelld.8
	install -D -m 644 completion/peatwell.bash \
	  $(DESTDIR)$(PREFIX)/share/bash-completion/completions/peatwell
	install -D -m 644 systemd/peatwelld@.service \
	  $(DESTDIR)$(PREFIX)/lib/systemd/system/peatwelld@.service

# A Debian package of the installed files.
deb: all
	@tools/make-deb $(BUILD)

SOURCES = $(shell git ls-files '*.c' '*.h' '*.cc' | grep -v pb-c)

format:
	@clang-format -i $(SOURCES)

lint:
	@clang-format --dry-run --Werror $(SOURCES)
	@printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P 8 -n 4 \
	  tools/tidy $(CPPFLAGS) -std=gnu11 $(shell pkg-config --cflags $(PKGS) lua5.4)

clean:
	rm -rf build build-*

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
