"""What several brokers do together. Off unless `--fleet FILE` switches it on; `run` imports nothing of it."""
