"""The laboratory: models, fakes, proxies and experiments. Never imported by `run`."""
