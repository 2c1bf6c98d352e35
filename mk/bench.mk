.PHONY: bench

# Compares calls through one instance with direct calls. CI doesn't run it, as the results
# depend on the load of the machine.
bench: build
	$(GO) run ./internal/bench -binary $(BIN)/redwingpoint
