"""`lab zone-size`: a lost zone at size, many brokers' decision modules in virtual time, off and on.

What runs is the program's own: the `WorkloadManager`, and with failover on the `ZoneFailover` (observations,
health, plan, admission) at every broker. What is modelled, and how:

- Time advances in steps of `STEP`; a message takes one step to arrive, or is lost with probability `loss`.
- An engine shares its cores among what it runs, a thread a query. It starts cold (from `StartCapacity` to all
  of its cores, linearly, within `WarmWithin`) and falls over for the rest of the run when more work than
  `FallMultiple` times what it can do comes within `Fall`. A silent one takes all and answers nothing; a reset
  one breaks what comes; a slow one does a tenth.
- The planner is one broker throughout, or the next one after it dies; membership and the lease are not
  modelled (they have their own laboratory): a successor acts `SUCCESSION` after the death.
- Arrivals are Poisson, of one class, uneven over brokers; clients wait `CLIENT_WAIT` and do not retry.
"""
