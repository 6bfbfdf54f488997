"""The entry: callers on one side, side processes on the other."""
