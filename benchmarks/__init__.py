"""Benchmarks; every bound is a ratio to a baseline of the same run."""
