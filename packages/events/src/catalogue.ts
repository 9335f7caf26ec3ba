/**
 * Catalogue of numbered log events. The number of a removed event is never reused.
 * docs/EVENTS.md lists the same entries.
 * @module
 */

/** Severity of an event. */
export type Level = "debug" | "info" | "warn" | "error";

/** Number, level and message text of one kind of log event. */
export interface EventDefinition {
  readonly id: number;
  readonly level: Level;
  readonly text: string;
}

/** All events, by name. */
export const EVENTS = {
  daemonStarted: { id: 1001, level: "info", text: "daemon started" },
  daemonReady: { id: 1002, level: "info", text: "daemon ready" },
  drainStarted: { id: 1003, level: "info", text: "drain started" },
  drainFinished: { id: 1004, level: "info", text: "drain finished" },
  drainCut: {
    id: 1005,
    level: "warn",
    text: "drain grace period ended with requests in flight",
  },
  unexpectedError: { id: 1006, level: "error", text: "unexpected error" },
  tlsReloaded: { id: 1007, level: "info", text: "TLS certificates reloaded" },
  peerUp: { id: 2001, level: "info", text: "peer is reachable" },
  peerSuspected: {
    id: 2002,
    level: "warn",
    text: "peer connection lost or silent, reconnecting",
  },
  peerDead: { id: 2003, level: "warn", text: "peer declared dead" },
  peerMessageRefused: {
    id: 2004,
    level: "warn",
    text: "message from a peer refused",
  },
  roleTaken: { id: 2101, level: "info", text: "dispatcher role taken" },
  roleHandedOver: {
    id: 2102,
    level: "info",
    text: "dispatcher role handed over",
  },
  acquireRefused: {
    id: 2103,
    level: "info",
    text: "dispatcher refused a request",
  },
  grantDropped: {
    id: 2104,
    level: "info",
    text: "grant dropped because its VM no longer runs the request",
  },
  stewardElected: { id: 2201, level: "info", text: "steward lease acquired" },
  stewardLost: { id: 2202, level: "warn", text: "steward lease lost" },
  orderIssued: { id: 2301, level: "info", text: "order issued to an engine" },
  orderRefused: { id: 2302, level: "warn", text: "engine refused an order" },
  rolesPlanned: {
    id: 2303,
    level: "info",
    text: "planned split between prefill and decode changed",
  },
  serverMoved: {
    id: 2311,
    level: "info",
    text: "server moves to the other pool",
  },
  serverNotMoved: {
    id: 2312,
    level: "warn",
    text: "server could not be moved",
  },
  storeUnavailable: { id: 3001, level: "warn", text: "object API unavailable" },
  storeRecovered: {
    id: 3002,
    level: "info",
    text: "object API available again",
  },
  recordsApplied: { id: 3101, level: "info", text: "records in force changed" },
  recordIgnored: {
    id: 3102,
    level: "error",
    text: "stored record is malformed and was ignored",
  },
  recordChanged: { id: 3103, level: "info", text: "operator changed a record" },
  journalTakenOver: {
    id: 3201,
    level: "info",
    text: "journal shard taken over",
  },
  journalLost: {
    id: 3202,
    level: "info",
    text: "journal shard lost to another home",
  },
  upstreamFailed: { id: 4001, level: "warn", text: "upstream failed" },
  streamResumed: {
    id: 4101,
    level: "info",
    text: "stream resumed on its decode server",
  },
  streamMoved: {
    id: 4102,
    level: "warn",
    text: "stream continued on another decode server",
  },
  streamBroken: {
    id: 4103,
    level: "error",
    text: "stream could not be finished",
  },
  orphanCancelled: {
    id: 4201,
    level: "info",
    text: "unclaimed work cancelled",
  },
  cancelUnacknowledged: {
    id: 4202,
    level: "warn",
    text: "cancellation abandoned without an acknowledgement",
  },
  settingsReloaded: {
    id: 1008,
    level: "info",
    text: "settings file reloaded",
  },
  settingsRejected: {
    id: 1009,
    level: "error",
    text: "settings file is malformed; the last valid settings stay in force",
  },
  clockJumped: {
    id: 1010,
    level: "warn",
    text: "the machine was suspended or its time of day was set",
  },
  bindFailed: {
    id: 1011,
    level: "warn",
    text: "a listener could not be bound, trying again",
  },
  tlsRejected: {
    id: 1012,
    level: "warn",
    text: "changed TLS files can't be used; the last ones stay in force",
  },
  startAbandoned: {
    id: 1013,
    level: "error",
    text: "the process can't start and ends",
  },
  configApplied: {
    id: 3104,
    level: "info",
    text: "configuration in force changed",
  },
  hubsConfirmed: {
    id: 3115,
    level: "info",
    text: "whether a hub knows all changes of objects has changed",
  },
  configPartsIgnored: {
    id: 3114,
    level: "error",
    text: "parts of the configuration in force can't be used",
  },
  objectIgnored: {
    id: 3105,
    level: "warn",
    text: "object is malformed and was ignored",
  },
  watchLost: { id: 3106, level: "warn", text: "watch failed" },
  watchRegained: { id: 3107, level: "info", text: "watch recovered" },
  watchStale: {
    id: 3110,
    level: "warn",
    text:
      "a peer has newer objects but did not send them, restarting the watch",
  },
  objectsPulled: {
    id: 3111,
    level: "info",
    text: "newer objects fetched from a peer",
  },
  streamsRestored: {
    id: 3112,
    level: "info",
    text: "begun streams read that dispatchers have stored",
  },
  streamsStored: { id: 3113, level: "debug", text: "begun streams stored" },
  serverChanged: {
    id: 3108,
    level: "info",
    text: "known state of a server changed",
  },
  memberWriteFailed: {
    id: 3109,
    level: "warn",
    text: "membership entry of this VM could not be written",
  },
  sendFailed: { id: 4002, level: "warn", text: "server did not answer" },
  grantReceived: {
    id: 4003,
    level: "info",
    text: "servers granted to a stream",
  },
  grantFailed: {
    id: 4004,
    level: "warn",
    text: "granted servers did not finish a stream",
  },
  freeFailed: {
    id: 4005,
    level: "warn",
    text: "prefill result could not be freed",
  },
  retryRefused: {
    id: 4006,
    level: "warn",
    text: "retry refused because the retry budget is used up",
  },
  limitShareChanged: {
    id: 4007,
    level: "info",
    text: "number of VMs that share the limits changed",
  },
  serverLimitChanged: {
    id: 4008,
    level: "info",
    text: "a server named, changed or lifted its limit of requests",
  },
  crashReported: {
    id: 4009,
    level: "warn",
    text: "a server ended before it wrote anything for a request",
  },
  requestsBlocked: {
    id: 4010,
    level: "error",
    text: "some requests are blocked, since servers ended under them",
  },
  recordWriteFailed: {
    id: 4011,
    level: "warn",
    text: "record of a service could not be written",
  },
  serverLinksLost: {
    id: 4012,
    level: "error",
    text: "this VM reaches no server of a service, while others do",
  },
  serverLinksRestored: {
    id: 4013,
    level: "info",
    text: "this VM reaches servers of a service again",
  },
  recordReadFailed: {
    id: 4014,
    level: "warn",
    text: "record of a service could not be read",
  },
  requestEnded: { id: 5003, level: "info", text: "request ended" },
  requestRejected: {
    id: 5004,
    level: "info",
    text: "request rejected before it was forwarded",
  },
  requestUnanswered: {
    id: 5005,
    level: "error",
    text: "request was not answered by its deadline and was ended",
  },
  requestForwarded: {
    id: 5006,
    level: "debug",
    text: "request passed on to another VM, since this one reaches no server",
  },
  serverChosen: {
    id: 4015,
    level: "debug",
    text: "server of a plain call chosen by its estimated load",
  },
  assignFailed: {
    id: 4016,
    level: "info",
    text: "the VM that assigns servers did not answer, so this one chose",
  },
  requestRefused: { id: 5001, level: "debug", text: "request refused" },
  requestFailed: { id: 5002, level: "warn", text: "request failed" },
} as const satisfies { [name: string]: EventDefinition };

/** Name of an event. */
export type EventName = keyof typeof EVENTS;
