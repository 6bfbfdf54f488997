"""Claims of calls that must not be repeated: store, group commit, retention."""
