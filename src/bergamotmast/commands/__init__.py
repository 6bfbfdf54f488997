"""Subcommands of the ``bergamotmast`` command, one per module."""
