#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain Python that needs nothing
# but the standard library, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
from pathlib import Path
for path in sorted(Path('.').rglob('*.py')):
    ast.parse(path.read_text(), str(path))
print('stand-ins checked')
PYTHON
