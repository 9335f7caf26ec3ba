/**
 * Ports to the wire formats of callers and servers. An adapter gives each an
 * implementation that only translates.
 * @module
 */
import type { Buffer } from "node:buffer";
import type { ServerRole } from "@bitternfall/types";
import type { RequestTraits } from "./model.ts";

/** Reads callers' requests and writes the few headers of the gateway's own answers. */
export interface CallerDialect {
  /** Traits of a request; undefined where its head is malformed. */
  readTraits(headers: ReadonlyMap<string, string>): RequestTraits | undefined;
  /** Whether only the gateway sets a header, so that a caller's own is dropped. */
  isReserved(lowerCaseName: string): boolean;
}

/** What the gateway adds to a request that it passes on. */
export interface CallTraits {
  /** The only start of a server that may run the request. */
  readonly serverId: string;
  /** Time that the server has. */
  readonly deadlineMs: number;
  /** Only reads the prompt. */
  readonly isPrefill?: boolean;
  /** Takes the result of a prefill over. */
  readonly prefillResult?: PrefillResult | undefined;
  /** Goes on after this event. */
  readonly lastEventId?: string | undefined;
}

/** Result of a prefill, kept at its server until it is fetched. */
export interface PrefillResult {
  readonly host: string;
  readonly port: number;
  readonly handle: string;
  readonly tokens: number;
}

/** What the head of a server's answer says. */
export interface AnswerTraits {
  readonly status: number;
  readonly requestId: string | undefined;
  /** The server states that it has not run the request. */
  readonly isNotRun: boolean;
  /** The server vouches for the answer. */
  readonly isSealed: boolean;
  /** Calls that the server runs and queues, and its slots. */
  readonly load?: ServerLoad | undefined;
}

/** A server's load as its answer tells it. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** An order that gives a model server another role. */
export interface RoleOrder {
  readonly serverId: string;
  readonly role: string;
  /** Name of the VM that gives the order. */
  readonly holder: string;
  readonly fence: number;
  /** Orders that the server must have accepted so far. */
  readonly ordersAccepted: number;
}

/** What became of an order. */
export enum OrderAnswer {
  Accepted = "accepted",
  /** The server has that role already. */
  Holds = "holds",
  /** Another order is under way, or the precondition does not hold. */
  Conflict = "conflict",
  /** A higher fencing number has been seen. */
  Fenced = "fenced",
  /** The server makes nothing of it, or is another start. */
  Refused = "refused",
}

/** A call that is not a caller's request. */
export interface OwnCall {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body?: Buffer | undefined;
}

/** What a model server says of itself when it is asked. */
export interface EngineReport {
  readonly role: ServerRole;
  /** Whether an order is under way. */
  readonly isSwitching: boolean;
  /** Orders that this start of the server has accepted. */
  readonly ordersAccepted: number;
}

/** Writes what goes to servers and reads what they answer. */
export interface ServerDialect {
  /** Headers that are added to a caller's, names and values in turn. */
  writeCall(traits: CallTraits): string[];
  readAnswer(
    status: number,
    headers: Readonly<{ [name: string]: string | string[] | undefined }>,
  ): AnswerTraits;
  /** Handle and length of a prefill's result; undefined where the body is malformed. */
  readPrefill(body: Buffer): { handle: string; tokens: number } | undefined;
  /** The call that frees a prefill result which nobody will fetch. */
  writeFree(handle: string): OwnCall;
  /** The call that asks a server for its report. */
  writeReport(): OwnCall;
  readReport(body: Buffer): EngineReport | undefined;
  writeOrder(order: RoleOrder): OwnCall;
  readOrderAnswer(status: number): OrderAnswer;
}
