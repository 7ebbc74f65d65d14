"""Adapter of the users' platform: its settings, store and wire.

Everything that speaks the platform's names stands in this package and
is translated here, once, into the product's types.
"""
