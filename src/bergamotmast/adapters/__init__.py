"""Adapters: one for each port, imported by the composition root alone."""
