"""Settings of one process: TOML file, environment and flags."""
