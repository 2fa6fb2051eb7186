# Controllers that do not lead carry workers' connections where there are many workers; see
# docs/relay.md. Any name of the policy may be set here too.
relay = True
relay_workers = 2000
