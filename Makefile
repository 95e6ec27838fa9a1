# make run       start a small deployment on this machine
# make test      run all tests, including their setup, but those of KNOWN-RED.txt
# make lint      run the formatter and the linters
# make bench     run the benchmarks
# make capacity  measure the capacity of a deployment

GO ?= go

.PHONY: build run test lint bench capacity

build:
	$(GO) build -o bin/ ./cmd/...

run: build
	bash scripts/run-local.sh

test:
	GO="$(GO)" bash scripts/test.sh

lint:
	@unformatted="$$(gofmt -l .)"; if [ -n "$$unformatted" ]; then echo "gofmt would change:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...

# Measures the steady state and changes of the document at five fleet sizes;
# see docs/CAPACITY.md.
capacity:
	$(GO) test -count=1 -timeout 20m -tags capacity -run TestCapacity -v ./integration
