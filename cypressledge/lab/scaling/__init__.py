"""Scaling: what each part of the program costs against the fleet's size, as points, fits and their source.

Processor time is the thread's own (`thread_time`) or a process's from /proc, so that others on the machine
disturb it little; each point is one run. What runs is the program's own code; fakes are named where they are.
Bytes of datagrams count 28 of UDP and IP each. KB are 1,000 bytes.
"""
