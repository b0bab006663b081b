# What linentrail does beside the platform's protocol. All of it is off on the platform; what is left out has the value
# that stands here. Another file can be named by LINENTRAIL_FILE. `linentrail check FILE` tells all that is wrong with one.

odata {
  enabled = false
  # Loopback only.
  listen = "127.0.0.1:8080"
  # Charging bookings: how long their ids are remembered, and how many, with how many bytes of answers.
  repeat_span_s = 600
  repeat_ids    = 20000
  repeat_mib    = 32
}

dnssd {
  # Browse for members, in discovery's place.
  browse = false
  # A DNS server for unicast DNS over TCP. Loopback only.
  server = "127.0.0.1:8053"
  # What members are registered as.
  service = "_postgresql._tcp.members.luzon-skip-hub.internal."
  # What the OData front is registered as, for `linentrail records`.
  domain   = "luzon-skip-hub.internal."
  instance = "linentrail"
}

shutdown {
  # New clients are still taken for so long after SIGTERM; on the platform they come for up to 400 ms.
  still_coming_ms = 550
}

# What outlasts the process (docs/recovery.md). The platform has no disk that does.
store {
  enabled = false
  # folder = "/var/lib/linentrail"   # the whole path; each proxy has a folder of its own name in it
  # "word": the operators' word is on the disk before its yes, and so is each snapshot; "never": left to the machine.
  fsync    = "word"
  most_mib = 16
  # Least time between two snapshots.
  every_ms = 1000
  # A start that cannot read its configuration: "take_last" takes the last that held, "refuse" does not start.
  broken = "take_last"
  # Where the operators' word may have been lost, STATUS is no for so long, or until they say CONFIRM; 0: not at all.
  confirm_s = 0
}

# What the proxies of a fleet agree on (docs/agreement.md). The platform lets them share nothing.
agreement {
  enabled = false
  # me      = 1
  # proxies = ["1 127.0.0.1:7001", "2 127.0.0.1:7002", "3 127.0.0.1:7003"]
  # voters  = [1, 2, 3]
  # keys    = ["1 /etc/linentrail/fleet.key"]
  lease_ms  = 800
  drift_ppm = 10000
  round_ms  = 50
  # Without a lease: "refuse" sends nothing, "go_on" goes on by what was known.
  on_lapse = "refuse"
  # A later member list may be taken from another proxy.
  lists = false
}
