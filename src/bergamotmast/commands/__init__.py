"""The subcommands of the ``bergamotmast`` command, a module each."""
