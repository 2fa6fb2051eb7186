# lilacthread's policy. A file given with --policy may set any of these again;
# values are checked at start. Durations are in seconds.

# Design of the two-tier paper, with DESIGN's starting values.
cycle_s = 0.25            # at most this long from an event to a scheduling pass
smoothing = 0.3           # weight of the latest run in an estimate
use_window_s = 600.0      # decay of a team's use
fetch_gb_per_s = 0.05     # fetch rate assumed before any was seen or listed

# Leadership.
leader_ttl_s = 3.0        # life of the leader key without a renewal
margin_s = 0.5            # added to every lease bound, beyond clock drift

# Machines.
idle_s = 10.0             # an idle machine is kept this long
boot_factor = 3.0         # times the listed boot time before a boot is given up
silent_reports = 4.0      # missed reports before a silent machine is returned
headroom = 1.0            # times the services expected during one boot
sick_errors = 2           # failures in a row before a machine is returned
refused_s = 20.0          # a refused type, zone and kind is tried again after
spot_wait_s = 5.0         # expected wait that justifies a spot machine
move_period_s = 600.0     # a replica moves once in this time on average at most
emptying = 0.05           # share of the machines, and two, that may empty at once
begin_s = 150.0           # work that has not begun by then goes before all but production; 0: never
patience_s = 60.0         # jobs this much younger may go first where their image is

# Admission under overload.
admission = False         # off: whoever is first in the queue's order goes first
serve = 0.4               # part of each account's jobs that is served in time first
class_serve = {}          # of a class: its part instead
answer_s = 1.0            # a submission that would wait longer is told when to come back
overload_s = 0.0          # overload begins when waiting work takes this long; 0: by the aims

# Relaying of workers' reports.
relay = False             # off: all workers report to the leader
relay_workers = 2500      # from so many workers on, the other controllers carry their connections
