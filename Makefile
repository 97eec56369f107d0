# Builds libcomfrey, its daemons, stand-ins and tests.  `make help` lists the
# make targets.

CC ?= cc
PKGS = glib-2.0 libmicrohttpd jansson libcurl msgpack ck libxxhash
CFLAGS ?= -O2 -g
ALL_CFLAGS = $(CFLAGS) -std=gnu11 -D_GNU_SOURCE -Wall -Wextra \
	-Wno-unused-parameter -pthread $(shell pkg-config --cflags $(PKGS))
LDLIBS = $(shell pkg-config --libs $(PKGS)) -pthread -lm
TEST_LDLIBS = $(shell pkg-config --libs check) $(LDLIBS)

LIB_OBJS = error.o log.o log-writer.o settings.o net.o wire.o http-server.o \
	http-client.o records.o route.o guard.o ring.o config-watch.o \
	vm-list.o outlier.o agent-link.o link-table.o claim.o admission.o \
	retry-budget.o entry.o entry-request.o entry-route.o agent.o agent-settings.o agent-jobs.o \
	agent-orders.o rank-group.o \
	expert-map.o map-change.o placement.o daemon.o explain.o log-line.o report.o \
	report-contention.o
PROGRAMS = comfrey comfrey-entry comfrey-agent comfrey-fake-engine \
	comfrey-fake-config comfrey-fake-vmlist comfrey-fake-service \
	comfrey-fake-weights comfrey-load comfrey-bench comfrey-slopes
TESTS = t/t-demo t/t-callers t/t-records t/t-settings t/t-log t/t-wire t/t-route t/t-admission t/t-guard t/t-outlier t/t-link t/t-http-client t/t-load \
	t/t-entry t/t-agent t/t-config t/t-once t/t-map t/t-placement t/t-rebalance t/t-fuzz \
	t/t-session t/t-explain t/t-report t/t-decode-fuzz $(GW_TESTS)

# The programs that run on the platform: the gateway and the rank agent, with
# the parts of the library that they use.  All of this is built under target/.
#
# WITHOUT lists mechanisms to leave out of this build, to measure the effect of
# each (gateway/ablation.h).
GW_PKGS = glib-2.0 jansson msgpack ck
GW_SRCS = $(wildcard gateway/*.c) $(wildcard platform/*.c) \
	error.c log.c log-writer.c net.c outlier.c retry-budget.c
GW_OBJS = $(GW_SRCS:%.c=target/obj/%.o)
GW_CFLAGS = $(CFLAGS) $(WITHOUT:%=-D%=1) -std=gnu11 -D_GNU_SOURCE -Wall -Wextra \
	-Wno-unused-parameter -pthread -I. -Igateway \
	$(shell pkg-config --cflags $(GW_PKGS))
GW_LDLIBS = $(shell pkg-config --libs $(GW_PKGS)) -lev -lhttp_parser -lm
GW_PROGRAMS = target/comfrey-gateway target/comfrey-rank-agent

# Stand-ins for the platform, and test callers, for the demo and the tests.
SI_SRCS = $(wildcard standins/fake-*.c)
SI_PROGRAMS = target/comfrey-fake-platform target/comfrey-callers \
	target/comfrey-fault-proxy

# Tests that run the programs of the platform.
GW_PROCESS_TESTS = t/t-gateway t/t-fake-target t/t-network t/t-rank-groups \
	t/t-planned-stop t/t-quarantine t/t-rate-limit t/t-target-pause t/t-target-leaving \
	t/t-store-era t/t-store-silence t/t-evacuation t/t-warmup t/t-store-calls t/t-group-failover \
	t/t-answer-end t/t-large-answer \
	t/t-prompt-parts t/t-skew t/t-returns t/t-retry-restarts
# Tests that also link the modules of the gateway.
GW_TESTS = t/t-platform t/t-retry-budget t/t-service-retries t/t-retry-handover t/t-sound-parts t/t-http-reader t/t-event-stream t/t-balancer \
	t/t-map-gain t/t-standstill t/t-order-watch t/t-hold-lease t/t-wait-queue \
	t/t-target t/t-upstream t/t-outage t/t-concurrency-limit t/t-membership \
	t/t-overload t/t-stream-latency t/t-expert-demand t/t-expert-counts \
	t/t-demand-watch t/t-demand t/t-fleet-demand t/t-share t/t-seed-order \
	t/t-org-usage t/t-group-map t/t-watch-batcher t/t-store-poll t/t-sent-ids t/t-pass-record t/t-loop-watch \
	t/t-map-history t/t-peer-msg t/t-log-writer t/t-coordinator t/t-fleet \
	t/t-pass-limit t/t-return-schedule \
	$(GW_PROCESS_TESTS)
GW_TEST_LDLIBS = target/libcomfrey-gateway.a -lev -lhttp_parser

all: $(PROGRAMS) deploy $(SI_PROGRAMS) $(TESTS) t/soak

libcomfrey.a: $(LIB_OBJS)
	$(AR) rcs $@ $^

$(PROGRAMS): %: %.o libcomfrey.a
	$(CC) $(ALL_CFLAGS) -o $@ $< $(FAKE_OBJS) libcomfrey.a $(LDLIBS)

FAKES = comfrey-fake-engine comfrey-fake-config comfrey-fake-vmlist \
	comfrey-fake-service comfrey-fake-weights
$(FAKES): fake-break.o
$(FAKES): FAKE_OBJS = fake-break.o

comfrey-fake-engine comfrey-bench: fake-ranks.o
comfrey-fake-engine comfrey-bench: LDLIBS := fake-ranks.o libcomfrey.a $(LDLIBS)
comfrey-bench: LDLIBS += $(shell pkg-config --libs gsl)



deploy: $(GW_PROGRAMS)

# An archive, so that each program links only the modules it uses.
target/libcomfrey-gateway.a: $(GW_OBJS)
	$(AR) rcs $@ $^

$(GW_PROGRAMS): target/%: target/obj/%.o target/libcomfrey-gateway.a
	$(CC) $(GW_CFLAGS) -Wl,--as-needed -o $@ $^ $(GW_LDLIBS)


target/comfrey-fake-platform: target/obj/standins/comfrey-fake-platform.o \
		$(SI_SRCS:%.c=target/obj/%.o) target/libcomfrey-gateway.a
	$(CC) $(GW_CFLAGS) -o $@ $^ $(GW_LDLIBS)

target/comfrey-callers: target/obj/standins/callers-load.o
target/comfrey-callers target/comfrey-fault-proxy: target/%: \
		target/obj/standins/%.o target/libcomfrey-gateway.a
	$(CC) $(GW_CFLAGS) -o $@ $^ $(GW_LDLIBS)

# The flags of the last build.  It is written only if they change, so that then
# all objects are built again.  -Werror is left out, since it changes no object.
target/flags: FORCE
	@mkdir -p $(dir $@)
	@printf '%s\n' '$(filter-out -Werror,$(CC) $(GW_CFLAGS))' >$@.$$$$; \
		cmp -s $@.$$$$ $@ && rm $@.$$$$ || mv $@.$$$$ $@

target/obj/%.o: %.c *.h gateway/*.h platform/*.h $(wildcard standins/*.h) target/flags
	@mkdir -p $(dir $@)
	@$(CC) $(GW_CFLAGS) -c -o $@ $<


$(GW_PROCESS_TESTS): $(GW_PROGRAMS) $(SI_PROGRAMS)
$(GW_PROCESS_TESTS): GW_TEST_LDLIBS += t/platform-harness.o
$(GW_PROCESS_TESTS): t/platform-harness.o
t/t-network: t/gateway-clock-step
t/t-retry-restarts: GW_TEST_LDLIBS += t/retry-windows.o
t/t-retry-restarts: t/retry-windows.o
t/t-answer-end t/t-large-answer: GW_TEST_LDLIBS += t/received-answer.o
t/t-answer-end t/t-large-answer: t/received-answer.o
t/t-large-answer: GW_TEST_LDLIBS += target/obj/standins/fake-text.o
t/t-large-answer: target/obj/standins/fake-text.o

# The gateway with a wall clock that jumps: t/clock-step.c overrides the C
# library's clock_gettime(), for the libraries that the program uses as well.
t/gateway-clock-step: t/clock-step.c target/obj/comfrey-gateway.o \
		target/libcomfrey-gateway.a
	$(CC) $(GW_CFLAGS) -rdynamic -o $@ $^ $(GW_LDLIBS) -ldl

# The decoders, built with the address and undefined-behaviour sanitizers.
SAN_FLAGS = -O1 -g -fsanitize=address,undefined,float-cast-overflow -fno-sanitize-recover=all
SAN_OBJS = $(GW_SRCS:%.c=target/san/%.o)

target/san/%.o: %.c *.h gateway/*.h platform/*.h target/flags
	@mkdir -p $(dir $@)
	@$(CC) $(GW_CFLAGS) $(SAN_FLAGS) -c -o $@ $<

target/libcomfrey-gateway-san.a: $(SAN_OBJS)
	@$(AR) rcs $@ $^

t/t-decode-fuzz: t/t-decode-fuzz.c t/harness.c http-client.c target/libcomfrey-gateway-san.a
	$(CC) $(ALL_CFLAGS) $(SAN_FLAGS) -I. -Igateway \
		$(shell pkg-config --cflags check) -o $@ $< t/harness.c http-client.c \
		target/libcomfrey-gateway-san.a -lev -lhttp_parser $(TEST_LDLIBS)

$(GW_TESTS): t/%: t/%.c t/harness.o libcomfrey.a target/libcomfrey-gateway.a
	$(CC) $(ALL_CFLAGS) -I. -Igateway $(shell pkg-config --cflags check) \
		-o $@ $< t/harness.o $(GW_TEST_LDLIBS) libcomfrey.a $(TEST_LDLIBS)

t/%: t/%.c t/harness.o libcomfrey.a
	$(CC) $(ALL_CFLAGS) -I. $(shell pkg-config --cflags check) -o $@ $< \
		t/harness.o libcomfrey.a $(TEST_LDLIBS)

t/t-target t/t-upstream t/t-balancer t/t-overload t/t-standstill t/t-group-failover: GW_TEST_LDLIBS += t/target-harness.o
t/t-target t/t-upstream t/t-balancer t/t-overload t/t-standstill t/t-group-failover: t/target-harness.o

t/t-callers: target/comfrey-callers
# Everything that the demos would build, so that no build runs during the tests.
t/t-demo: $(PROGRAMS) $(GW_PROGRAMS) $(SI_PROGRAMS)

t/target-harness.o: $(wildcard gateway/*.h platform/*.h)
t/harness.o t/platform-harness.o t/target-harness.o t/received-answer.o: t/%.o: t/%.c t/%.h
	$(CC) $(ALL_CFLAGS) -I. $(shell pkg-config --cflags check) -c -o $@ $<

# The fault soak: the seeds 1 to SEEDS, or one SEED (docs/SOAK.md).
SOAK_OBJS = $(patsubst %.c,%.o,$(wildcard t/soak*.c))
SEEDS ?= 50

$(SOAK_OBJS): t/soak.h t/platform-harness.h t/harness.h
$(SOAK_OBJS): ALL_CFLAGS += -I.

t/soak: $(SOAK_OBJS) t/retry-windows.o t/harness.o t/platform-harness.o target/obj/standins/fake-text.o libcomfrey.a $(GW_PROGRAMS) $(SI_PROGRAMS)
	$(CC) $(ALL_CFLAGS) -o $@ $(SOAK_OBJS) t/retry-windows.o t/harness.o t/platform-harness.o \
		target/obj/standins/fake-text.o libcomfrey.a $(TEST_LDLIBS)

soak: t/soak
	t/soak $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))

# For CI: a seed with all kinds of faults, a seed with planned operations only,
# and every seed that has ever failed (t/soak-seeds.txt).
soak-ci: t/soak
	t/soak --seed 2 --seeds 2
	grep -v '^#' t/soak-seeds.txt | cut -d'|' -f1 | xargs -r -n 1 t/soak --seed

%.o: %.c *.h
	$(CC) $(ALL_CFLAGS) -c -o $@ $<

# The packages have to be installed before a second make starts, since the
# flags above are read from pkg-config when make parses this file.
test:
	sh scripts/install-deps.sh
	$(MAKE) all
	sh t/run-tests.sh $(TESTS)

demo:
	sh scripts/demo.sh

# The demo of the product's own interface: entries, agents and their stand-ins.
demo-own:
	sh scripts/demo-own.sh

# Prints a table with the skew and the cost of each placement policy, with the
# expert weights of both sites.
bench: comfrey-bench
	./comfrey-bench --csv bench.csv

style:
	clang-format --dry-run --Werror $(foreach d,. gateway platform \
		standins t,$(wildcard $(d)/*.c $(d)/*.h))

tidy:
	printf '%s\n' *.c gateway/*.c platform/*.c standins/*.c t/soak*.c | xargs -P $$(nproc) -n 1 sh -c \
		'clang-tidy --quiet "$$0" -- $(ALL_CFLAGS) -I. -Igateway'

clean:
	rm -f *.o t/*.o libcomfrey.a $(PROGRAMS) $(TESTS) t/soak bench.csv

help:
	@echo "make          build everything"
	@echo "make demo     install packages, build, start stand-ins and run callers"
	@echo "make demo-own the same for the product's own interface (entries, agents)"
	@echo "make test     run the tests under t/"
	@echo "make soak     inject faults generated from seeds: SEEDS=N, or SEED=S"
	@echo "make bench    run comfrey-bench: compare the placement policies"
	@echo "make deploy   build the programs that run on the platform, under target/"
	@echo "make style    check formatting with clang-format"
	@echo "make tidy     check the sources with clang-tidy"
	@echo "make clean    remove the built files, except for target/"

FORCE:

.PHONY: FORCE all deploy test soak soak-ci demo demo-own bench style tidy clean help
