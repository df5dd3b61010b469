#!/usr/bin/env bash
# An entry of another writer lies in the store for two seconds; then engines are replaced.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without it.
here="$(dirname "$0")"
exec "$here/../run-case.sh" DrainingEngineCase "$here"
