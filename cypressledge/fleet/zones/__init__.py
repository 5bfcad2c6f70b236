"""Zone failover: brokers observe zones of engines, one planner moves traffic off a lost zone and back.

Decisions, free of I/O and given the time:

- `observations`: what one broker's attempts show of each engine; `health`: what is wrong with a zone, from
  all brokers' observations
- `failover_planner`: the bookkeeping of the plan; `stage_machines`: one state machine a zone, with
  `planning_input` (what a step goes by), `recovery_ramp` (the pace of a return) and `failover_plan` (stages,
  shares and the pace that all share)
- `plan_follower`: the newest plan at a broker; `load_shedding`: what is shed while the others can't bear all

One broker's part:

- `failover` puts the parts together; `environment` and `topology` are what it needs of its broker and site
- `observer` and `admission` connect it with the broker core; `fleet_view` keeps all brokers' observations
- `planner_duty` runs the planner while this broker holds its lease
- `operator_commands` and `operator_api` answer operators; `events` are what is logged
"""
