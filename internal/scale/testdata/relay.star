# Followers relay workers' connections from the first worker on, so that small runs cover it.
relay = True
relay_workers = 1
