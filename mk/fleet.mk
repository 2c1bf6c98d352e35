.PHONY: fleet-figures

# Prints the figures of the table in docs/design/fleet.md: bytes and durations in virtual
# time, and the benchmarks of the membership protocol.
fleet-figures:
	$(GO) test ./internal/fleet -run TestWireCosts -v -count=1
	$(GO) test ./internal/fleet -run '^$$' -bench 'FleetFigures|ColdStart' -benchtime 1x -timeout 30m
	$(GO) test ./internal/fleet -run '^$$' -bench 'MergeFact|Datagram|Tick|Memory|RealFleet' -benchtime 1s
