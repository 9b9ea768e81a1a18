#!/usr/bin/env bash
# A server leaves without a word some seconds after the store has come back from an older copy; see
# claim.txt. TROUBLE=0: the server leaves without the drill before.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" removed-after-drill "$here"
