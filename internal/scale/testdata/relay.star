# Followers relay workers' connections already from one worker on, for small runs.
relay = True
relay_workers = 1
