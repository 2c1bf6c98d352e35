.PHONY: capacity

# Compares the slopes in docs/CAPACITY.md with new benchmark results. CI doesn't run it,
# as times depend on the load of the machine.
capacity:
	./scripts/capacity.sh
