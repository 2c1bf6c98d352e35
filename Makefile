GO ?= go
BIN := bin

.PHONY: build quickstart test fmt lint race

build:
	$(GO) build -o $(BIN)/ ./cmd/redwingpoint ./internal/standin/cmd/standin

quickstart: build
	BIN=$(BIN) ./scripts/quickstart.sh

test:
	./scripts/test.sh

race:
	./scripts/test.sh -race

fmt:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }

lint: fmt
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Further targets, one file for each group: models, benchmarks, soak tests and others.
include $(wildcard mk/*.mk)
