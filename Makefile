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
