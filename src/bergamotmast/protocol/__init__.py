"""The protocol between the system's own processes."""
