#!/usr/bin/env bash
# Scores the deployments of the regression runs, one after the other. FLEETBENCH is the
# platform's bench, SYSTEM the folder with the site files, WHY the line for the journal,
# JOBS the number of days that are played at the same time.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?set it to the bench}" "${SYSTEM:?set it to the folder of the site files}" "${WHY:?say what is measured}"
for site in large/ldm-sched-large further-grown/vitrales-rimac-grown further/vitrales-rimac \
  grown/htw-engrave-grown grown/ldm-sched-grown; do
  "$FLEETBENCH" score "$SYSTEM/$site.toml" --jobs "${JOBS:-3}" --why "$WHY"
done
