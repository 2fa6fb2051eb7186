# Enables relaying: with many workers, controllers that do not lead hold workers' connections
# for the leader; see docs/relay.md. Other policy settings may be added here.
relay = True
relay_workers = 2000
