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
