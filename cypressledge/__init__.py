"""cypressledge: the decisions of a workload manager for query engines with limited memory."""
