"""Zone failover: brokers observe zones of engines, one planner moves traffic off a lost zone and back.

`observations` and `health` say what is wrong where, `failover_planner` decides under a lease what each zone's
share of the traffic is, `plan_follower` is that plan at each broker, `observer` and `admission` connect it
with the broker core, and `failover` puts the parts together.
"""
