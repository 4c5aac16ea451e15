# Control messages between nodes, sent over capnp-rpc in the packed encoding.
#
# Compatibility: fields are only added, at the end of a struct, and a zero or null value of an
# added field means what its absence meant. Kinds and states are plain numbers rather than enums,
# so that a reader can skip a value it does not know.

@0xc1f4b7a2d95e3806;

struct Hello {
  # Identity of a node, sent once at the start of a connection.
  version @0 :UInt16;          # highest protocol version spoken
  name @1 :Text;
  service @2 :Text;
  zone @3 :Text;
  incarnation @4 :Data;        # 16 bytes
  control :group {
    ip @5 :Data;               # 4 or 16 bytes
    port @6 :UInt16;
  }
}

struct Status {
  # What a node says about its configuration.
  version @0 :UInt16;
  state @1 :UInt16;
  revision @2 :UInt64;         # 0 when empty
  digest @3 :Data;             # 32 bytes; absent when empty
  epoch @4 :UInt32;
}

struct Claim {
  # A reader of the configuration service in an availability zone.
  score @0 :UInt64;            # rendezvous hash of (zone, epoch, name); the lowest is best
  epoch @1 :UInt32;
  counter @2 :UInt32;          # raised by the reader once per second
}

struct News {
  kind @0 :UInt16;             # 1 down, 2 alive, 3 leaving, 4 suspect, 5 convicted
  number @1 :UInt32;           # statement number of the subject; the higher one is later
  subject @2 :Text;            # upstream name; for suspects the service name
  id @3 :Data;                 # 16 bytes: incarnation or fingerprint
  witness @4 :Text;            # who saw a node down
}

struct Beat {
  revision @0 :UInt64;
  digest @1 :UInt64;           # first 8 bytes of the digest of the head
  level @2 :UInt32;
  epoch @3 :UInt32;            # epoch of the choice of readers
  inFlight @4 :UInt16;
  limit @5 :UInt16;
  queued @6 :UInt16;
  state @7 :UInt16;            # 0 starting, 1 serving, 2 waking, 3 leaving
  claims @8 :List(Claim);      # at most 2, only to peers in the same availability zone
  news @9 :List(News);         # at most 16
}

struct Listed {
  name @0 :Text;
  leaving @1 :Bool;
}

struct ListView {
  # The instance list of one service as one of its nodes read it.
  service @0 :Text;
  origin @1 :Text;             # the node that read it
  counter @2 :UInt32;          # raised by the origin with each read that it passes on
  entries @3 :List(Listed);    # at most 256
}

interface Node {
  hello @0 (hello :Hello) -> (hello :Hello, status :Status, accepted :Bool, seen :UInt16);
  # Asks for a peer link. Heartbeats count only on an accepted link. `seen` is the caller's own
  # condition as the answering node knows it: 0 unknown, 1 alive, 2 down, 3 leaving.

  beat @1 (beat :Beat) -> (beat :Beat);
  # Exchanges heartbeats.

  status @2 () -> (status :Status);

  head @3 () -> (content :Data);
  # The encoded head in effect; empty without a configuration.

  fetch @4 (digests :List(Data)) -> (contents :List(Data));
  # Parts by digest, in the order asked for; empty for a part that is not held.

  list @5 (list :ListView) -> ();
}
