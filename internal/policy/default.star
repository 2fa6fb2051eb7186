# Default policy of lilacthread. A file given with --policy may override any of these
# settings; values are checked at start. Durations are in seconds.

# Scheduling, after the design of the two-tier paper.
cycle_s = 0.25            # maximum delay from an event to the next scheduling pass
smoothing = 0.3           # weight of the latest run in the moving average of run times and fetch rates
use_window_s = 600.0      # time constant with which a team's past usage decays
fetch_gb_per_s = 0.05     # fetch rate assumed until one is listed or measured

# Leadership.
leader_ttl_s = 3.0        # time to live of the leader key without a renewal
margin_s = 0.5            # added to every lease bound, in addition to clock drift

# Machines.
idle_s = 10.0             # an idle machine is released after this time
boot_factor = 3.0         # a machine that is not up after this multiple of the listed boot time is released
silent_reports = 4.0      # report intervals without a report before a machine is released
headroom = 1.0            # capacity kept free, as a multiple of the services expected during one boot time
sick_errors = 2           # consecutive task failures before a machine is drained
refused_s = 20.0          # wait before a machine type, zone and kind without capacity is rented again
spot_wait_s = 5.0         # a spot machine is rented if a task would wait longer than half its boot time plus this
move_period_s = 600.0     # minimum average time between two moves of a service replica
emptying = 0.05           # share of the machines, plus two machines, that may drain at the same time
begin_s = 150.0           # work that has not started by then is scheduled before all other work except production; 0: never
patience_s = 60.0         # a job may be placed before jobs that are older by up to this, on machines that hold its image

# Admission under overload.
admission = False         # False: jobs start in queue order, without shares per account
serve = 0.4               # share of each account's jobs that is served in time before all others
class_serve = {}          # dictionary from a class name to the share that replaces serve for the class
answer_s = 1.0            # a submission that would wait longer is refused with a time to retry
overload_s = 0.0          # backlog, as work time of all machines, at which overload begins; 0: derived from the objectives

# Relaying of workers' reports.
relay = False             # False: all workers report to the leader
relay_workers = 2500      # minimum number of workers for which other controllers hold workers' connections
