SEEDS ?= 20

.PHONY: soak

# Sends duplicate receipts to real processes under kills, freezes, cuts and a
# faulty store, and prints runs, faults and violations for each seed.
soak:
	$(GO) test -count=1 -timeout 60m -v ./internal/soak -args -seeds $(SEEDS)
