"""The command `lab zones`: fails a zone under several broker processes, with zone failover off and on.

The results are compared. All traffic is on loopback; all processes are started and ended here.
"""
