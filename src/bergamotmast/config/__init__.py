"""The configuration: its document, checks, edits, storage and delivery."""
