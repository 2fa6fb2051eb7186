# Enables relaying: with many workers, controllers that do not lead hold workers' connections
# for the leader; see docs/relay.md. Other names of the policy may be set here too.
relay = True
relay_workers = 2000
