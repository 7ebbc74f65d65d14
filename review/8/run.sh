#!/usr/bin/env bash
# Plays the case and writes record.txt into its folder; see claim.txt.
# TROUBLE=0 withdraws the key and keeps the tenant.
cd "$(dirname "$0")/../.."
exec python3 -m review.8.case review/8/record.txt
