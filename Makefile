PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/gooseberryquay demo

test: setup
	$(BIN)/pytest --numprocesses 6 --dist loadfile

lint: setup
	$(BIN)/black --check --quiet gooseberryquay conftest.py
	$(BIN)/ruff check gooseberryquay conftest.py
	$(BIN)/mypy gooseberryquay
	$(BIN)/lint-imports
