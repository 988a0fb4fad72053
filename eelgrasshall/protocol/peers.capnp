@0xd1c9a0e37f5b2a64;
# Messages and calls between the daemons.  messages.py defines the Python types
# and documents the fields; peers.py encodes and decodes them.

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

struct Batch {
  sender @0 :Text;
  requests @1 :List(SubRequest);
  results @2 :List(SubResult);
  cancels @3 :List(Text);
}

struct TicketRequest {
  sender @0 :Text;
  request @1 :Data;
}

struct TicketAnswer {
  status @0 :UInt16;
  answer @1 :Data;
}

struct Configuration {
  version @0 :UInt64;
  body @1 :Data;
}

struct Frame {
  # One message on a peer stream.  A reply has the id of its call.
  id @0 :UInt64;
  union {
    # Calls.  A batch is acknowledged on arrival; the results of its
    # sub-requests are sent later, in a batch in the opposite direction.
    batch @1 :Batch;
    gossip @2 :Gossip;
    fetchConfiguration @3 :UInt64;
    runTicket @4 :TicketRequest;

    # Replies.
    acknowledgement @5 :Void;
    gossipReply @6 :Gossip;
    configuration @7 :Configuration;
    ticketAnswer @8 :TicketAnswer;
  }
}
