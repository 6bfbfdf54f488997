"""Runs under seeded faults: a whole fleet in one process, in virtual time."""
