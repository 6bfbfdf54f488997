VENV ?= .venv
BIN := $(VENV)/bin
PYTHON ?= python3

.PHONY: demo test check checker lint types clean

demo: $(VENV)/ready
	$(BIN)/bergamotmast demo

# In Python 3.11, a traceback that a finalizer formats with markers below its lines fails
# an ast.parse that the garbage collector has interrupted.
# Tests of crowds measure memory, and run one at a time beside nothing else.
test: check checker
	PYTHONNODEBUGRANGES=1 $(BIN)/python -m pytest -n auto --dist worksteal -m "not crowd"
	PYTHONNODEBUGRANGES=1 $(BIN)/python -m pytest -p no:xdist -m crowd

checker:
	spec/install.sh

check: lint types

lint: $(VENV)/ready
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	PYTHONPATH=src $(BIN)/lint-imports

types: $(VENV)/ready
	$(BIN)/mypy

$(VENV)/ready: requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

clean:
	rm -rf $(VENV) build dist .mypy_cache .ruff_cache .pytest_cache
