"""Stand-ins for external systems, for tests, the demonstration and the benchmarks."""
