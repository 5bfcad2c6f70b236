"""Cost of each part of the program as a function of the fleet's size, as points, fits and their source.

Processor time is that of the thread (`thread_time`) or of a process (from /proc), so that other processes on
the machine affect it little; each point is one run. The measured code is the program's own; docstrings name
the fakes. Datagram sizes include 28 bytes of UDP and IP headers each. 1 KB is 1,000 bytes.
"""
