"""Planner: assigns a role, models and adapters to each engine of the fleet."""
