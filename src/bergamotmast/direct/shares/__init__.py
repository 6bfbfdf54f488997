"""Shares among tenants while a group is short of capacity, for all entries together."""
