.PHONY: rolling

# Replaces the processes of a fleet one by one under load and prints the request counts.
rolling:
	ROLLING=full $(GO) test ./internal/daemon -run TestRollingReplacement -count=1 -v -timeout 20m
