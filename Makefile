# Targets for developers. `make demo` and `make test` need only Go.

PACKAGES = ./... ./standin/...

.PHONY: test format lint build generate check

build:
	go build -o bin/ ./cmd/...

test:
	go test $(PACKAGES)

# Fails when gofmt would change a file.
format:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt would change:"; echo "$$unformatted"; exit 1; fi

lint:
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

# Rewrites the committed code of the protocol buffers. Needs protoc.
generate:
	go generate $(PACKAGES)

check: format lint test

.PHONY: mutations fuzz

# Takes each guard of a promise out and expects its proof to fail.
mutations:
	go test ./proof -run TestMutations -count=1 -v

# Rounds of the state machines with new seeds; prints how to repeat a failure.
FUZZ_ROUNDS = 10
FUZZ_CHECKS = 5000
fuzz:
	@packages=$$(grep -l pgregory.net/rapid $$(git ls-files '*_test.go' ':!proof') | xargs -n1 dirname | sort -u); \
	for round in $$(seq $(FUZZ_ROUNDS)); do \
		seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' '); \
		for package in $$packages; do \
			flags="-count=1 -rapid.seed=$$seed -rapid.checks=$(FUZZ_CHECKS) -rapid.nofailfile"; \
			go test ./$$package $$flags || { echo "repeat with: go test ./$$package $$flags"; exit 1; }; \
		done; \
	done

# The stand-ins and runner of scenarios: demo shows one, bench measures all, or
# the files of SCENARIO=path.
SCENARIO ?= standin/scenarios

.PHONY: standin demo bench

standin: build
	go build -o bin/ ./standin/cmd/standin

demo: standin
	bin/standin demo -out out/demo standin/scenarios/demo/lindenhuber.scenario

bench: standin
	bin/standin run -out out $(SCENARIO)

.PHONY: slopes

# Figures of docs/CAPACITY.md; takes many minutes at 19,000 nodes. Parts alone: see
# `go run ./standin/slopes -h`.
slopes: build
	go run ./standin/slopes -gypsumd bin/gypsumd -plots docs/capacity

.PHONY: regression

# Scores the users' sites that are played before a landing, where their bench is there:
# BENCH is the program, SITES the folder with their site files.
BENCH ?= ../given/kit/more/system/more/bench-d17393/bin/fleetbench
SITES ?= ../given/kit/more/system
REGRESSION = further/kerhoant-mesh further-grown/kerhoant-mesh-grown large/lindenhuber-mesh-large \
	grown/strandstoll-tally-grown sites/lindenhuber-mesh
regression:
	@if [ ! -x $(BENCH) ]; then echo "regression: no bench at $(BENCH), nothing was played"; exit 0; fi; \
	for site in $(REGRESSION); do \
		$(BENCH) score $(SITES)/$$site.toml --jobs 3 --why "regression" || exit 1; \
	done
