"""The experiment tool: real code of the system in virtual time, under a trace."""
