.PHONY: model

# Checks the Promela models in spec/ and that each switch breaks them.
model:
	./scripts/model.sh
