#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. See claim.txt.
cd "$(dirname "$0")" && exec timeout -k 5 115 python3 -B case.py
