# Development commands. Each target creates the virtual environment if needed.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup format generate lint types unit test demo bench soak soak-platform clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

format: setup
	$(BIN)/ruff format shallotgate testkit tools tests platform
	$(BIN)/ruff check --fix -q shallotgate testkit tools tests platform

generate: setup
	$(BIN)/python tools/generate.py

lint: setup
	$(BIN)/ruff format --check shallotgate testkit tools tests platform
	$(BIN)/ruff check -q shallotgate testkit tools tests platform
	$(BIN)/flake8 shallotgate testkit tools platform
	$(BIN)/python tools/generate.py --check

types: setup
	$(BIN)/mypy

unit: setup
	$(BIN)/python tools/run_tests.py

test: lint types unit

demo: setup
	$(BIN)/python -m testkit.demo

bench: setup
	$(BIN)/python -m testkit.bench $(ARGS)

soak: setup
	$(BIN)/python -m testkit.soak --seed $(or $(SEED),1) --minutes $(or $(MINUTES),2)

soak-platform: setup
	PYTHONPATH=platform/tests:platform:. $(BIN)/python -m soak --seeds $(or $(SEEDS),1) --seconds $(or $(SECONDS),12) --kinds "$(KINDS)"

clean:
	rm -rf $(VENV) build .pytest_cache .mypy_cache .ruff_cache
