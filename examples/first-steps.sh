#!/usr/bin/env bash
# Applies the sample inventory and rules, then writes and reads a booking.
set -euo pipefail
cd "$(dirname "$0")/.."
command="${ROSEMARYSADDLE:-.venv/bin/rosemarysaddle}"
export ROSEMARYSADDLE_CREDENTIAL=operator
"$command" apply inventory examples/inventory.json --base-version 0
"$command" apply rules examples/rules.json --base-version 0
post() {
  curl --silent --show-error "http://127.0.0.1:8101/v1/statements" \
    -H 'Authorization: Bearer caller' -H 'X-Tenant: sample' \
    -H 'Content-Type: application/json' -d "$1"
  echo
}
post '{"group": "db-1", "class": "booking", "write": true, "deadline_ms": 20000,
  "statements": [{"sql": "INSERT INTO bookings VALUES (%s, %s)", "args": ["b-1", "balloon-7"]}]}'
post '{"group": "db-1", "class": "booking",
  "statements": [{"sql": "SELECT * FROM bookings"}]}'
