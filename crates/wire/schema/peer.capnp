@0xd5c1f0a86b3e7924;

# Inner protocol between entry instances. An instance calls `Peer` at the instances to which it
# reports; the direction of calls is the direction of reports.

struct Hello {
  id @0 :Text;
  zone @1 :Text;
  region @2 :Text;
  protocolVersion @3 :UInt16;
  configVersion @4 :UInt64;
  incarnation @5 :UInt64;
  # IP address and port at which the entry instance takes calls.
  address @6 :Text;
}

# A team's requests for one service. Names are positions in the table of the connection.
struct QueueUsage {
  service @0 :UInt16;
  team @1 :UInt16;
  running @2 :UInt16;
  waiting @3 :UInt16;
}

# Requests that one entry instance runs on one backend server.
struct InstanceUsage {
  instance @0 :UInt16;
  running @1 :UInt16;
}

# How an instance fails, as the entry instance that reports it sees it.
enum Symptom {
  unreachable @0;
  hanging @1;
  failingAll @2;
}

struct InstanceSymptom {
  instance @0 :UInt16;
  symptom @1 :Symptom;
}

struct EntryReport {
  entry @0 :UInt16;
  zone @1 :UInt16;
  incarnation @2 :UInt64;
  # Raised with each heartbeat of the entry instance.
  heartbeat @3 :UInt64;
  configVersion @4 :UInt64;
  # Changes since the last report on this connection; zero removes.
  queues @5 :List(QueueUsage);
  instances @6 :List(InstanceUsage);
  # Whether it takes new requests.
  ready @7 :Bool;
  # Number of the fleet document on which it acts, read before the counts.
  fleetNumber @8 :UInt64;
  # Requests on backend servers that take no new work; all of them in each report.
  draining @9 :List(InstanceUsage);
  # Failing instances; all of them in each report.
  symptoms @10 :List(InstanceSymptom);
  # Whether the key-value service answered it lately.
  storeReachable @11 :Bool;
}

struct Report {
  # Appended to the table of names of this connection.
  names @0 :List(Text);
  ledgerRevision @1 :UInt64;
  entries @2 :List(EntryReport);
}

struct ConfigDocument {
  version @0 :UInt64;
  # The operators' configuration as JSON; empty when the callee has nothing newer.
  document @1 :Data;
}

struct Leave {
  id @0 :Text;
  incarnation @1 :UInt64;
}

interface Peer {
  # Returns the entry instances that the callee knows, the callee first.
  hello @0 (hello :Hello) -> (known :List(Hello));
  report @1 (report :Report) -> (configVersion :UInt64);
  # Returns the configuration in force at the callee if its version is higher than `after`.
  config @2 (after :UInt64) -> (config :ConfigDocument);
  leave @3 (leave :Leave) -> ();
}
