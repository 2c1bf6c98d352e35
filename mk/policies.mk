.PHONY: policies

# Prints the comparison of target selection policies; takes a few minutes.
policies:
	$(GO) run ./internal/routing/policytable/cmd/policies
