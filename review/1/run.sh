#!/usr/bin/env bash
# The operator's change is acknowledged by a store that has just come back from an older copy; see
# claim.txt. TROUBLE=0: the same change without the drill.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" key-after-drill "$here"
