#!/bin/sh
# Builds what the cases of the second review start beside the deploy file's programs. Their stand-ins are Python (3.11 or
# later, standard library alone), so this only checks that it is there and that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import sys
import tomllib  # noqa: F401, since 3.11
for name in ("lib2/rig.py", *(f"{number}/case.py" for number in range(6, 11))):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
print(f"stand-ins compile with Python {sys.version.split()[0]}")
CHECK
