"""Benchmarks: trace-driven simulation in virtual time, and measurements of cost."""
