GO ?= go
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS = -X merlinhall/cli.Version=$(VERSION)

.PHONY: all build fmt vet lint race clients sim fuzz test demo rolling upgrade path capacity bench

all: build

build:
	$(GO) build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

fmt:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./... ./tools/...

lint:
	$(GO) build -o bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	bin/staticcheck ./... ./tools/...

# Leaders and carriers, and meters and collectors of usage, on virtual clocks, and the faults
# that these must find.
sim:
	$(GO) test -count=1 ./batch -run 'Leaders|Planted' -sim.seeds 200 -sim.planted 2000
	$(GO) test -count=1 ./batch -run 'Leaders' -sim.seeds 50 -sim.steporder
	$(GO) test -count=1 ./usage -run 'Under' -usage.seeds 400

# Random bytes for each decoder, FUZZTIME each; findings stay in the testdata of the packages.
# By default the tool minimizes each input that reaches new code for up to a minute, and
# tries few others meanwhile.
FUZZTIME ?= 10m
FUZZWORKERS ?= 3
fuzz:
	for t in $$(git grep -o 'func Fuzz[A-Za-z]*' -- '*_test.go' | sed 's,/[^/]*:func ,:,'); do \
		$(GO) test ./$${t%%:*} -run XXX -fuzz "^$${t##*:}$$" -fuzztime $(FUZZTIME) -fuzzminimizetime 5x -parallel $(FUZZWORKERS) || exit 1; done

race:
	$(GO) test -race -count=1 $$($(GO) list ./... ./tools/... | grep -v '/platform/clientload$$')

# Crowds of clients outside the limits at real processes. Their memory is measured, so nothing else
# runs beside them.
clients:
	$(GO) test -count=1 ./platform/clientload

# Formatter, vet, linter, every other test with the race detector, crowds of clients, and the
# simulation.
test: fmt vet lint build race clients sim

# Runs every process on loopback addresses under faults; ends within 60 s.
demo: build
	./demo/run.sh

# Restarts every process of the system under load, one after the other.
rolling: build
	./demo/run.sh rolling

# Replaces every process of the production version by this one under load and faults, once
# for each of the seeds.
UPGRADE_SEEDS ?= 1-6
upgrade:
	MERLINHALL_UPGRADE_SEEDS=$(UPGRADE_SEEDS) $(GO) test -count=1 -timeout 3h ./platform -run TestUpgrade -v

# Latency, processor time, memory and start-up time of the path, in one run.
path: build
	./demo/path.sh

# Measures the slopes of docs/CAPACITY.md again and rewrites its tables.
capacity:
	$(GO) run ./tools/capacity

# Trainer idle time and staleness, routing and overload against their baselines,
# on a virtual clock; the tables are also written to out/bench.txt.
bench: build
	@mkdir -p out
	{ bin/merlinhall bench rollout; bin/merlinhall bench routing; bin/merlinhall bench overload; } | tee out/bench.txt
