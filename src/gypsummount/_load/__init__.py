"""Callers that put load on the system, and reports of what they saw."""
