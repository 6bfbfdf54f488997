"""Adapters for the users' platform: its names, formats and calls, without decisions.

Only the composition root imports this package.
"""
