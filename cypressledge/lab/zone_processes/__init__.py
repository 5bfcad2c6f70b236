"""`lab zones`: loses a zone under several brokers as processes, with zone failover off and on, and compares.

Loopback only; all processes are started here, and ended.
"""
