@0xd1c9a0e37f5b2a64;
# Messages and calls between the daemons.  The Python forms, with the meaning
# of each field, are in messages.py; peers.py translates.

struct Problem {
  kind @0 :Text;
  where @1 :Text;
  what @2 :Text;
  remedy @3 :Text;
}

struct Snapshot {
  epoch @0 :UInt64;
  version @1 :UInt64;
}

struct SubRequest {
  subId @0 :Text;
  queryId @1 :Text;
  kind @2 :Text;
  service @3 :Text;
  body @4 :Data;
  pinned @5 :Bool;
  snapshot @6 :Snapshot;
  budgetMicros @7 :UInt64;
  ageMicros @8 :UInt64;
  repeatable @9 :Bool;
  fingerprint @10 :Text;
  direct @11 :Bool;
}

struct SubResult {
  subId @0 :Text;
  service @1 :Text;
  outcome @2 :Text;
  part @3 :Data;
  served @4 :Bool;
  snapshot @5 :Snapshot;
  low @6 :UInt32;
  high @7 :UInt32;
  server @8 :Text;
  serverWarm @9 :Bool;
  available @10 :List(Snapshot);
  queueWaitMicros @11 :UInt64;
  attempts @12 :UInt16;
  hedges @13 :UInt16;
  failed @14 :Bool;
  problem @15 :Problem;
}

struct GossipFact {
  topic @0 :Text;
  key @1 :Text;
  sequence @2 :UInt64;
  body @3 :Data;
}

struct Gossip {
  sender @0 :Text;
  incarnation @1 :UInt64;
  configurationVersion @2 :UInt64;
  facts @3 :List(GossipFact);
  probe @4 :Text;
  reachable @5 :Bool;
}

interface Peer {
  # Accepts sub-requests.  The return says only that they have arrived; the
  # results follow through `deliver` in the other direction.
  relay @0 (sender :Text, batch :List(SubRequest)) -> ();

  # Accepts results of sub-requests relayed earlier.
  deliver @1 (sender :Text, batch :List(SubResult)) -> ();

  # Gives up sub-requests whose results nobody waits for any more.
  cancel @2 (sender :Text, subIds :List(Text)) -> ();

  # A heartbeat with facts; the reply carries facts back.
  gossip @3 (message :Gossip) -> (reply :Gossip);

  # Gives the configuration in force if it is newer than `have`.
  fetchConfiguration @4 (have :UInt64) -> (version :UInt64, body :Data);

  # Runs a request of a caller that only this host may run, by its ticket.
  # The body and the answer are the caller protocol's JSON.
  runTicket @5 (sender :Text, request :Data) -> (status :UInt16, answer :Data);
}
