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

# One file for each concern: models, benchmarks, soak runs and the like.
include $(wildcard mk/*.mk)
