SEEDS ?= 20
FIRST ?= 0

.PHONY: soak

# Runs real processes under kills, freezes, cuts, broken targets and a faulty store:
# gateways on the stand-ins of the users' platform, and duplicate receipts on
# redwingpoint's own interface. FIRST is the gateways' first seed. Prints what was
# served, refused and unknown, the faults and every violation for each seed.
soak:
	$(GO) test -count=1 -timeout 60m -v ./internal/soak -args -seeds $(SEEDS) -first $(FIRST)
