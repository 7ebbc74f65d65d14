"""Adapter to the users' platform: its settings, store and wire protocol.

Only this package uses the platform's terms.  It translates them into
the product's types.
"""
