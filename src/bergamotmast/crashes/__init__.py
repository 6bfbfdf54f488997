"""Requests that crash the upstreams that run them: records, trials, quarantine."""
