# Chores.  `make check` is what CI runs; `make demo` shows the product.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: env format check demo measure soak explore

env: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports
	$(BIN)/python -m pytest

demo: env
	$(BIN)/python -m measure.demo

measure: env
	$(BIN)/python -m measure.run --short

soak: env
	$(BIN)/python -m eelgrasshall.platform.soak --seeds 5

explore: env
	$(BIN)/python -m eelgrasshall.platform.exploration --depth 6 --seconds 900
	$(BIN)/python -m eelgrasshall.platform.fleet_walks --examples 2000
