.PHONY: rolling

# Replaces a fleet of separate processes one by one under load and prints counts.
rolling:
	ROLLING=full $(GO) test ./internal/daemon -run TestRollingReplacement -count=1 -v -timeout 20m
