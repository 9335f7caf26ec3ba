/**
 * What a flood trial sends to a gateway, shared by its thread and its measurement.
 * @module
 */
import {
  CALLER_FLOODS,
  type CallerFlood,
  type Flood,
  SERVER_FLOODS,
  type ServerFlood,
  STORE_FLOODS,
  StoreFlood,
} from "@bitternfall/stand-ins";
import type { ProcessPorts } from "./gateway_process.ts";

/** The faulty peer of a gateway. */
export enum FloodPeer {
  /** The server of a plain service. */
  Plain = "plain server",
  /** The decode server of a model service. */
  Decode = "decode server",
  /** The prefill server of a model service. */
  Prefill = "prefill server",
  ObjectApi = "object API",
  Caller = "caller",
}

/** Calls to the object API. */
export enum StoreCall {
  List = "list",
  Watch = "watch",
  Write = "write",
  Any = "any call",
}

/** What floods a gateway. */
export type FloodCase =
  | {
    readonly peer: FloodPeer.Plain | FloodPeer.Decode | FloodPeer.Prefill;
    readonly kind: ServerFlood;
    readonly calls: number;
    /** Whether the callers of the faulty server do not read; false by default. */
    readonly isUnread?: boolean;
  }
  | {
    readonly peer: FloodPeer.ObjectApi;
    readonly kind: ServerFlood | StoreFlood;
    readonly call: StoreCall;
  }
  | {
    readonly peer: FloodPeer.Caller;
    readonly kind: CallerFlood;
    readonly calls: number;
    readonly port: keyof ProcessPorts;
  };

/** Service, and first part of the path, of the faulty server. */
export const FAULTY_SERVICE = "faulty";
/** Timeout of the faulty server's route. */
export const FAULTY_TIMEOUT_MS = 2500;

/** Data of the thread that floods. */
export interface FloodWorkerData {
  readonly floodCase: FloodCase;
  /** Port of the sound server, or object API, that is behind the faulty one. */
  readonly soundPort: number;
}

/** How a call ended that met a flood, or was one. */
export interface FloodedCall {
  /** 0 if there was no answer. */
  readonly status: number;
  readonly isWhole: boolean;
  /** False where it did not end in its time. */
  readonly hasEnded: boolean;
  readonly ms: number;
  /** What is wrong with its end; undefined if nothing is. */
  readonly fault: string | undefined;
}

/** What the thread reports after a flood. */
export interface FloodReport {
  readonly calls: readonly FloodedCall[];
  /** Requests that were answered with the flood. */
  readonly floods: number;
}

/** Returns what a case sends. */
export function getFlood(floodCase: FloodCase): Flood {
  if (floodCase.peer === FloodPeer.Caller) return CALLER_FLOODS[floodCase.kind];
  return isStoreFlood(floodCase.kind)
    ? STORE_FLOODS[floodCase.kind]
    : SERVER_FLOODS[floodCase.kind];
}

function isStoreFlood(kind: string): kind is StoreFlood {
  return (Object.values(StoreFlood) as string[]).includes(kind);
}

/** Describes a case in one line. */
export function describeCase(floodCase: FloodCase): string {
  const { peer, kind } = floodCase;
  if (peer === FloodPeer.ObjectApi) {
    return `${peer}, ${floodCase.call}: ${kind}`;
  }
  const detail = peer === FloodPeer.Caller
    ? `, ${floodCase.port.replace("Port", "")} port`
    : floodCase.isUnread
    ? ", unread"
    : "";
  return `${peer}${detail}: ${kind} x ${floodCase.calls}`;
}
