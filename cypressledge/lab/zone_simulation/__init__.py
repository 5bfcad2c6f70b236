"""The command `lab zone-size`: simulates the loss of a zone in a large fleet, with zone failover off and on.

Every broker runs the production `WorkloadManager` in virtual time and, with failover on, the production
`ZoneFailover` (observations, health, plan, admission). The rest is modelled:

- Time advances in steps of `STEP`; a message takes one step to arrive, or is lost with probability `loss`.
- An engine shares its cores among its running queries, one thread per query. It starts cold (from
  `StartCapacity` to all of its cores, linearly, within `WarmWithin`). While cold, it fails for the rest of
  the run if within `Fall` it receives more work than `FallMultiple` times its capacity. A silent engine
  accepts everything and answers nothing; a reset engine resets the connections; a slow engine has a tenth of
  its capacity.
- The planner is one fixed broker, or its successor after it is killed. Membership and the lease are not
  modelled (other simulations cover them): the successor acts `SUCCESSION` after the kill.
- Arrivals are Poisson, of one class, uneven over brokers; clients wait `CLIENT_WAIT` and do not retry.
"""
