PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint format bench capacity proto clean

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/gypsummount demo

test: $(VENV)/.ready
	$(BIN)/python tools/run_tests.py

lint: $(VENV)/.ready
	$(BIN)/ruff check src tests tools benchmarks
	$(BIN)/ruff format --check src tests tools benchmarks
	$(BIN)/flake8 src tests tools benchmarks

format: $(VENV)/.ready
	$(BIN)/ruff check --fix src tests tools benchmarks
	$(BIN)/ruff format src tests tools benchmarks

bench: $(VENV)/.ready
	$(BIN)/pytest benchmarks -p no:randomly

capacity: $(VENV)/.ready
	$(BIN)/python tools/capacity.py
	$(BIN)/python tools/fleet_cost.py

proto: $(VENV)/.ready
	$(BIN)/python -m grpc_tools.protoc -I src \
		--python_out=src --grpc_python_out=src \
		src/gypsummount/_proto/peer.proto

clean:
	rm -rf $(VENV) build
