"""Zone failover: brokers observe the engines of each zone, and one planner moves traffic off a lost zone and
back.

Decision modules without I/O; callers pass the time:

- `observations`: per-engine results of one broker's attempts; `health`: the verdict on each zone, from all
  brokers' observations
- `failover_planner`: the plan and its number; `stage_machines`: one state machine per zone, with
  `planning_input` (the input of one step), `recovery_ramp` (how fast a zone's share grows while it recovers)
  and `failover_plan` (stages, shares and pace, used by all other modules)
- `plan_follower`: the newest plan at a broker; `load_shedding`: which requests are shed while the serving
  zones lack the capacity for all of them

Modules that connect the decisions to one broker:

- `failover` assembles the parts; `environment` and `topology` define what it needs from its broker and site
- `observer` and `admission` connect it to the broker core; `fleet_view` keeps all brokers' observations
- `planner_duty` runs the planner while this broker holds the planner's lease
- `operator_commands` and `operator_api` serve operators' calls; `events` names the logged events
"""
