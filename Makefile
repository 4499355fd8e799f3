# Each target does its own set-up; only python3.11 and make are needed.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test lint format demo cell bench capacity fuzz protos docs-check clean

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: $(STAMP)
	# The order of sets is part of a search: it must be the same each time.
	PYTHONHASHSEED=0 $(BIN)/python -m lab.knownred

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: $(STAMP)
	$(BIN)/python -m lab.demo

cell: $(STAMP)
	$(BIN)/python -m lab.session

bench: $(STAMP)
	$(BIN)/python -m benchmarks

capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity

fuzz: $(STAMP)
	$(BIN)/python -m lab.fuzz

docs-check: $(STAMP)
	$(BIN)/python -m pytest tests/test_docs.py

protos: $(STAMP)
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I redwingrun \
		--python_out=redwingrun --grpclib_python_out=redwingrun redwingrun/peer.proto
	sed -i 's/^import peer_pb2/from redwingrun import peer_pb2/' redwingrun/peer_grpc.py
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I redwingrun/jobs \
		--python_out=redwingrun/jobs --grpclib_python_out=redwingrun/jobs \
		redwingrun/jobs/jobpeer.proto
	sed -i 's/^import jobpeer_pb2/from redwingrun.jobs import jobpeer_pb2/' \
		redwingrun/jobs/jobpeer_grpc.py

clean:
	rm -rf $(VENV) .hypothesis build *.egg-info
