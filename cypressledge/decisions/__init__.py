"""The decisions: which request goes to which engine and when. Free of I/O and told the time."""
