# Every target works on a fresh machine: the virtual environment is made first.
VENV := .venv
BIN := $(VENV)/bin
PYTHON ?= python3
SEEDS ?= 50

LAB_DAYS ?= 8

.PHONY: demo test measure lab startup handover promises soak lint format clean

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest

measure: $(VENV)/.installed
	$(BIN)/python -m measure

lab: $(VENV)/.installed
	$(BIN)/python -m lab --plan calm bursts faults scarce --workers 50 --seeds $(LAB_DAYS)

startup: $(VENV)/.installed
	PYTHONPATH=platform:platform/tests $(BIN)/python -m measure_startup

handover: $(VENV)/.installed
	PYTHONPATH=.:platform:platform/tests $(BIN)/python -m measure_handover --json handover.jsonl

promises: $(VENV)/.installed
	$(BIN)/python -m tests.promises

soak: $(VENV)/.installed
	PYTHONPATH=platform/tests $(BIN)/python -m soak --seeds $(SEEDS)

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV)
