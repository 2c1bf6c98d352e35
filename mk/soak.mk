SEEDS ?= 20
FIRST ?= 0

.PHONY: soak

# Runs separate processes under kills, freezes, network faults, misbehaving targets and a
# faulty store: gateways with a fake of the platform, and instances that receive requests
# with the same idempotency key. SEEDS is the number of seeds, FIRST the first seed of the
# gateways. Prints the numbers of served, refused and unknown requests, the injected
# faults and each violation, for each seed.
soak:
	$(GO) test -count=1 -timeout 60m -v ./internal/soak -args -seeds $(SEEDS) -first $(FIRST)
