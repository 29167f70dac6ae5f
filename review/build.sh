#!/bin/sh
# Builds what the scripts of the review start beside the nodes. The stand-ins are Python, which
# needs no build; this checks that the interpreter is there and takes the sources.
set -e
cd "$(dirname "$0")"
for file in harness.py */case.py; do
    python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
python3 -B -c "import sys; sys.exit(sys.version_info < (3, 8))"
