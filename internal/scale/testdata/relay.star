# Relaying from the first worker on, for small runs.
relay = True
relay_workers = 1
