.PHONY: model

# Checks the Promela models in spec/, and that each BREAK_ switch yields a counterexample.
model:
	./scripts/model.sh
