#!/bin/sh
# The stand-ins need only Python's standard library: compiling them is the build.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins-3
