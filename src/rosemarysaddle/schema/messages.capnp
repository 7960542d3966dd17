@0xc5a1f3b27d9e4406;

# Messages between the hosts of one deployment.  schema.generate generates
# the attrs classes in _messages.py from this file.

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :Text;
  payload @3 :Text;
}

struct VoteRequest {
  term @0 :UInt64;
  candidate @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  pre @4 :Bool;
  afterRestart @5 :Bool = false;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
  pre @2 :Bool;
  heardAgeNs @3 :UInt64;
  restarted @4 :Bool = false;
}

struct AppendRequest {
  term @0 :UInt64;
  leader @1 :Text;
  prevIndex @2 :UInt64;
  prevTerm @3 :UInt64;
  commitIndex @4 :UInt64;
  sentNs @5 :UInt64;
  entries @6 :List(LogEntry);
}

struct AppendReply {
  term @0 :UInt64;
  ok @1 :Bool;
  matchIndex @2 :UInt64;
  sentNs @3 :UInt64;
  # In a rejection, matchIndex is an index below prevIndex from which the
  # logs may match, and hintTerm the term of its entry.  Earlier builds
  # leave out these three.
  hintTerm @4 :UInt64 = 0;
  prevIndex @5 :UInt64 = 0;
  commitIndex @6 :UInt64 = 0;
}

struct SnapshotInstall {
  term @0 :UInt64;
  leader @1 :Text;
  index @2 :UInt64;
  lastTerm @3 :UInt64;
  sentNs @4 :UInt64;
  state @5 :Text;
  voters @6 :Text = "";
}

struct JoinRequest {
  host @0 :Text;
}

struct StepOut {
  host @0 :Text;
}

# The leader of the term no longer acts as such, so that the voters need
# not wait until its time is over.
struct LeaderResigned {
  term @0 :UInt64;
}

struct IndexRequest {
  askedNs @0 :UInt64;
}

struct IndexReply {
  askedNs @0 :UInt64;
  index @1 :UInt64;
  current @2 :Bool;
}

# A patch did not fit the sender's route plan, which differs from that of
# the leader that made the patch.
struct PlanReport {
  host @0 :Text;
  # Version that the sender holds, and the one that the patch leads to.
  version @1 :Int64;
  missedVersion @2 :Int64;
}

struct ClosingGroup {
  group @0 :Text;
  term @1 :UInt64;
  drain @2 :Bool;
}

struct LeaseRenewal {
  host @0 :Text;
  dataCenter @1 :Text;
  sentNs @2 :UInt64;
  appliedIndex @3 :UInt64;
  address @4 :Text;
  lendingAddress @5 :Text = "";
  neighboursTag @6 :UInt32 = 0;
  # Time since the start of the sender's process, at the sending; 0 if
  # it is not known.
  startedAgeMs @7 :UInt64 = 0;
}

struct LeaseGrant {
  sentNs @0 :UInt64;
  leaseMs @1 :UInt32;
  minIndex @2 :UInt64;
  closing @3 :List(ClosingGroup);
}

struct LeaseRefusal {
  sentNs @0 :UInt64;
  leader @1 :Text;
}

struct LeaseReturn {
  host @0 :Text;
}

struct CloseGroup {
  group @0 :Text;
  term @1 :UInt64;
  drain @2 :Bool;
}

struct GroupClosed {
  host @0 :Text;
  group @1 :Text;
  term @2 :UInt64;
  # Bounds of the position of the newest write that the sender has
  # acknowledged, as targets number it.
  leastTerm @3 :UInt64 = 0;
  leastPosition @4 :UInt64 = 0;
  newestTerm @5 :UInt64 = 0;
  newestPosition @6 :UInt64 = 0;
  # Whether it is known that no write was acknowledged after them.
  isBounded @7 :Bool = false;
}

struct Suspicion {
  host @0 :Text;
  group @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
  refused @4 :Bool;
}

# Reads are refused, as the replicas of a group are behind and its
# primary is full.
struct ReplicasBehind {
  host @0 :Text;
  group @1 :Text;
  term @2 :UInt64;
  # Newest log point of the primary that the host has seen.
  pointTerm @3 :UInt64;
  pointPosition @4 :UInt64;
}

# A target has answered in a way that contradicts the recorded primary.
struct TermReport {
  host @0 :Text;
  group @1 :Text;
  # Term of the group in the sender's state.
  term @2 :UInt64;
  target @3 :Text;
  # Term of the log of the target, as its answer showed it.
  observedTerm @4 :UInt64;
  # Whether the target, the recorded primary, refused to write.
  readOnly @5 :Bool;
}

struct ViewDelta {
  entries @0 :List(LogEntry);
}

struct ViewSnapshot {
  index @0 :UInt64;
  state @1 :Text;
}

struct Announcement {
  target @0 :Text;
  group @1 :Text;
  dataCenter @2 :Text;
  address @3 :Text;
  role @4 :Text;
  term @5 :UInt64;
  position @6 :UInt64;
  leaving @7 :Bool;
  identity @8 :Text;
  slots @9 :UInt32 = 0;
  incarnationMs @10 :UInt64 = 0;
  gone @11 :Bool = false;
  # Increases with each announcement of an incarnation.
  sequence @12 :UInt64 = 0;
}

struct ChangeProposal {
  changeId @0 :Text;
  kind @1 :Text;
  baseVersion @2 :UInt64;
  author @3 :Text;
  payload @4 :Text;
}

struct ChangeReply {
  changeId @0 :Text;
  accepted @1 :Bool;
  version @2 :UInt64;
  reason @3 :Text;
  path @4 :Text;
}

struct Heartbeat {
}

struct Switchover {
  group @0 :Text;
  target @1 :Text;
}

struct Neighbour {
  address @0 :Text;
}

# Entry hosts of another data centre.
struct RemoteHosts {
  dataCenter @0 :Text;
  hosts @1 :List(Neighbour);
}

struct Neighbours {
  tag @0 :UInt32;
  hosts @1 :List(Neighbour);
  # Only where teams share connections across data centres.
  remote @2 :List(RemoteHosts) = [];
  # Time for which no earlier process has counted operations in the data
  # centre, at the sending; 0 if it is not known.
  uncountedMs @3 :UInt64 = 0;
}

struct Variable {
  name @0 :Text;
  value @1 :Text;
}

struct PreparedName {
  name @0 :Text;
}

struct LoanRequest {
  target @0 :Text;
  waitMs @1 :UInt32;
  values @2 :List(Variable);
  priority @3 :UInt32;
  pinned @4 :Bool;
  team @5 :Text = "";
  # Time left to meet the latency objective; 0 if there is none.
  objectiveMs @6 :UInt32 = 0;
  # Share of the team relative to others, in thousandths.
  weight @7 :UInt32 = 0;
  # Whether a connection of any team serves the request.
  anyTeam @8 :Bool = false;
  # Class of the route, for the estimate of the operation's work.
  serviceClass @9 :Text = "";
}

struct LoanQueued {
}

struct LoanGrant {
  values @0 :List(Variable);
  prepared @1 :List(PreparedName);
}

struct LoanRefusal {
  code @0 :Text;
  # Whether the target's host accepted the connection that failed.
  connected @1 :Bool = false;
  # Time after which a retry may find a connection; 0 if unknown.
  retryAfterMs @2 :UInt32 = 0;
}

struct LoanReturn {
  values @0 :List(Variable);
  prepared @1 :List(PreparedName);
  # Whether the target refused the last statement, as it was busy.
  wasBusy @2 :Bool = false;
  # Whether the target refused the last statement without running it.
  ranNothing @3 :Bool = false;
}

struct PointRequest {
  target @0 :Text;
}

struct PointReply {
  known @0 :Bool;
  ageNs @1 :UInt64;
  term @2 :UInt64;
  position @3 :UInt64;
}

# Asks the host that counts a team's operations for tokens, one for each
# operation.  A transfer moves tokens between data centres.
struct TokenRequest {
  requestId @0 :UInt64;
  team @1 :Text;
  count @2 :UInt32;
  transfer @3 :Bool = false;
}

struct TokenGrant {
  requestId @0 :UInt64;
  team @1 :Text;
  count @2 :UInt32;
  # Time after which tokens may be available; 0 if some were granted.
  waitMs @3 :UInt32 = 0;
}

# Message between an entry host and the control leader that passes over
# another entry host, which does not read it.
struct RelayedMessage {
  # Entry host that the message is from or for.
  host @0 :Text;
  # Encoded envelope; empty if it cannot be relayed.
  body @1 :Data;
}

struct Envelope {
  source @0 :Text;
  requestId @1 :UInt64;
  body :union {
    voteRequest @2 :VoteRequest;
    voteReply @3 :VoteReply;
    appendRequest @4 :AppendRequest;
    appendReply @5 :AppendReply;
    snapshotInstall @6 :SnapshotInstall;
    leaseRenewal @7 :LeaseRenewal;
    leaseGrant @8 :LeaseGrant;
    leaseRefusal @9 :LeaseRefusal;
    leaseReturn @10 :LeaseReturn;
    closeGroup @11 :CloseGroup;
    groupClosed @12 :GroupClosed;
    suspicion @13 :Suspicion;
    viewDelta @14 :ViewDelta;
    viewSnapshot @15 :ViewSnapshot;
    announcement @16 :Announcement;
    changeProposal @17 :ChangeProposal;
    changeReply @18 :ChangeReply;
    switchover @19 :Switchover;
    heartbeat @20 :Heartbeat;
    joinRequest @21 :JoinRequest;
    stepOut @22 :StepOut;
    indexRequest @23 :IndexRequest;
    indexReply @24 :IndexReply;
    neighbours @25 :Neighbours;
    loanRequest @26 :LoanRequest;
    loanQueued @27 :LoanQueued;
    loanGrant @28 :LoanGrant;
    loanRefusal @29 :LoanRefusal;
    loanReturn @30 :LoanReturn;
    pointRequest @31 :PointRequest;
    pointReply @32 :PointReply;
    tokenRequest @33 :TokenRequest;
    tokenGrant @34 :TokenGrant;
    relayedMessage @35 :RelayedMessage;
    replicasBehind @36 :ReplicasBehind;
    leaderResigned @37 :LeaderResigned;
    termReport @38 :TermReport;
    planReport @39 :PlanReport;
  }
}
