# Every target sets up what it needs: a virtual environment of its own with
# the locked versions. `make demo` and `make test` are the two to know.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# Compiled packages fit one interpreter and one kind of machine.
ABI := $(shell $(PYTHON) -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')
STAMP := $(VENV)/.stamp-$(ABI)

.PHONY: demo test prove lint types check binary lock clean

$(STAMP): requirements.lock pyproject.toml
	[ -e $(STAMP) ] || rm -rf $(VENV)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench demo

test: lint types
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check deploy src tests bench
	$(BIN)/ruff check deploy src tests bench
	$(BIN)/lint-imports

types: $(STAMP)
	$(BIN)/mypy

# make prove [SECONDS=300] [SEED=1234]
SECONDS ?= 300
SEED ?=
prove: $(STAMP)
	$(BIN)/python -m bench prove --seconds $(SECONDS) $(if $(SEED),--seed $(SEED))

binary: $(STAMP)
	$(BIN)/python -m bench.binary

lock: $(STAMP)
	$(BIN)/pip-compile --quiet --strip-extras --allow-unsafe --generate-hashes --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --extra dev -o requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) dist build
