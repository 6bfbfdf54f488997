"""What a process spends on its callers: connections, memory, and turns at the loop."""
