"""Fault injection runs: a whole deployment in one process, on a simulated clock.

The faults, the callers' requests and every other random choice of a run follow from
its seed.
"""
