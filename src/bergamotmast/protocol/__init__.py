"""Messages, stored records and timing that the system's own processes share."""
