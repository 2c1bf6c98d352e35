.PHONY: capacity

# Measures the slopes of docs/CAPACITY.md again; times vary, so CI doesn't run it.
capacity:
	./scripts/capacity.sh
