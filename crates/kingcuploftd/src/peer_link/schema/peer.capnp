@0xc5f1f0b25a7a3d11;
# What entry VMs tell each other. Each side of a link offers a Peer.

struct Member {
  # One line of news about a VM.
  name @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  beat @4 :UInt32;
  state @5 :State;

  enum State {
    live @0;
    suspect @1;
    leaving @2;
    gone @3;
  }
}

struct Beat {
  # A heartbeat.
  generation @0 :UInt64;
  rootHash @1 :UInt64;
  beat @2 :UInt32;
  digest @3 :UInt32;
  news @4 :List(Member);
}

struct Drain {
  service @0 :Text;
  backendServer @1 :Text;
  address @2 :Text;
}

interface Peer {
  hello @0 (self :Member, beat :Beat) -> (self :Member, beat :Beat);
  # The first call on a link: who is at either end.

  beat @1 (beat :Beat) -> (beat :Beat);

  root @2 (since :UInt64) -> (delta :Text);
  # The root in force as a difference, in JSON; empty where there is nothing newer.

  services @3 (hashes :List(Text)) -> (texts :List(Text));
  # Service objects by hash, as many as fit; an empty text where one is not here.

  drains @4 (drains :List(Drain));
  # Backend servers that drain; passed on where it is news.

  notes @5 (service :Text, generation :UInt64, entries :List(UInt32));
  # Backend servers that turned full or free: an entry is the server's number in the manifest of
  # the generation, times 256, plus its load.

  members @6 (from :UInt32) -> (members :List(Member), drains :List(Drain));
  # All members that are known, in pages, and the drains: for a VM that just started.
}
