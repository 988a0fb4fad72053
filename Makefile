# Chores.  `make check` is what CI runs; `make demo` shows the product.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
# Test processes.  On 8 cores, half are left to the processes that tests start,
# so that tests that measure time keep their bounds.
WORKERS ?= 4

.PHONY: env format check demo measure soak explore

env: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -c "import eelgrasshall"
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
	@# The second call runs after a failure of the first, too; each fails the run.
	status=0; \
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile \
	  --no-loadscope-reorder -m "not alone" || status=1; \
	$(BIN)/python -m pytest -m alone || status=1; \
	exit $$status

demo: env
	$(BIN)/python -m measure.demo

measure: env
	$(BIN)/python -m measure.run --short

soak: env
	$(BIN)/python -m eelgrasshall.platform.soak --seeds 5

explore: env
	$(BIN)/python -m eelgrasshall.platform.exploration --depth 6 --seconds 900
	$(BIN)/python -m eelgrasshall.platform.fleet_walks --examples 2000
	$(BIN)/python -m eelgrasshall.gateway.answer_search
