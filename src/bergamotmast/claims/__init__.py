"""Claims that keep calls at-most-once: their store, group commit and retention."""
