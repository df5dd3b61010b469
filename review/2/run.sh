#!/usr/bin/env bash
# A router gets SIGTERM while clients that keep an answer of the directory send bookings.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without it.
here="$(dirname "$0")"
exec "$here/../run-case.sh" StoppingRouterCase "$here"
