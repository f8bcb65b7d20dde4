# Creates the Python environment on first use and sets PYTHON. Sourced by the other scripts.
GERANIUMRAIL_VENV=${GERANIUMRAIL_VENV:-.venv}
PYTHON=$GERANIUMRAIL_VENV/bin/python
if ! cmp -s pyproject.toml "$GERANIUMRAIL_VENV/installed-pyproject.toml"; then
  python3.11 -m venv "$GERANIUMRAIL_VENV" &&
    "$PYTHON" -m pip install -q -e '.[test]' >&2 &&
    cp pyproject.toml "$GERANIUMRAIL_VENV/installed-pyproject.toml" || return 1
fi
