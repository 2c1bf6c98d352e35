.PHONY: bench

# Measures calls through one entry process against direct calls; figures vary
# with what else the machine does, so CI doesn't run it.
bench: build
	$(GO) run ./internal/bench -binary $(BIN)/redwingpoint
