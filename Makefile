VENV := .venv
PYTHON := $(VENV)/bin/python
PYTHON3 ?= python3
export PYTHONHASHSEED := 0

.PHONY: test lint format demo soak bench pages clean

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON3) -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: $(VENV)/.ready  ## run every test; ends with the count of passed, failed and skipped
	$(PYTHON) -m nose2 --config crowds.cfg
	$(PYTHON) -m nose2 --config tests.cfg
	@$(PYTHON) -m ibisfront.testing.proofs

lint: $(VENV)/.ready  ## formatter, linter, type checker and import layers
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
	$(VENV)/bin/lint-imports

format: $(VENV)/.ready  ## rewrite the sources in the project's format
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

demo: $(VENV)/.ready  ## the whole tier on this machine, with a printed report
	$(PYTHON) -m ibisfront.testing.demo

soak: $(VENV)/.ready  ## seeds of real processes under faults, without and with workspaces
	$(PYTHON) -m ibisfront.testing.soak --seeds 1-50
	$(PYTHON) -m ibisfront.testing.soak --seeds 1-20 --workspaces

bench: $(VENV)/.ready  ## measure the tier and check the regression bounds
	$(PYTHON) -m benchmarks

pages: $(VENV)/.ready  ## write the generated parts of the pages
	$(PYTHON) -m ibisfront.testing.pages

clean:
	rm -rf $(VENV) build *.egg-info .mypy_cache .ruff_cache .import_linter_cache
