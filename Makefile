PYTHON ?= python3
BIN := .venv/bin

.PHONY: install demo test check bench soak proto lock

install: .venv/installed

.venv/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: install
	$(BIN)/wharfcart demo

test: install
	$(BIN)/pytest $(PYTEST_OPTIONS)

check: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

bench: install
	$(BIN)/python benchmarks/gateway_latency.py
	$(BIN)/python benchmarks/journal_throughput.py
	$(BIN)/python benchmarks/leader_failover.py
	$(BIN)/python benchmarks/job_replication.py
	$(BIN)/python benchmarks/capacity_slopes.py

soak: install
	$(BIN)/python benchmarks/journal_soak.py
	$(BIN)/python benchmarks/fault_soak.py

proto: install
	cd src && ../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. wharfcart/cluster/messages.proto

lock:
	$(BIN)/pip-compile --quiet --extra dev --allow-unsafe --strip-extras --no-emit-index-url --no-emit-find-links -o requirements.lock pyproject.toml
