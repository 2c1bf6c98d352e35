.PHONY: policies

# Prints the comparison of policies for the choice of a target (some minutes).
policies:
	$(GO) run ./internal/routing/policytable/cmd/policies
