"""Decision logic: which request goes to which engine and when. It does no I/O; the time is an argument.

Entry point: `manager.WorkloadManager`; `contract` holds the settings, the events and the actions.

Requests: `lifecycle` (from arrival to the final answer), `request` (state), `ordering` (by key), `deadlines`.
Scheduling: `queues` (one per class), `odds` (PI loop, weighted draw), `odds_loop` (its inputs), `dispatch`.
Choice of an engine: `routing` (filters and costs), `affinity` (groups, loads), `rank_hash`, `load_reports`.
Limits of an engine: `engine_admission`, `concurrency_limits`, `slow_start`, `health` (ejection).
Attempts: `attempts` (cancel, move), `attempt_resources`, `retries`, `outcomes`, `progress`, `lost_responses`.
State and running means: `engines`, `subscription` (engine lists), `estimates` (work, memory, latency),
`pace` (slowdowns). Periodic tasks: `housekeeping`, `inspection`. Shared: `context`, `units`.
"""
