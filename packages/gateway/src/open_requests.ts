/**
 * The requests of a VM's callers from their arrival until their responses have been written
 * out or their callers have disconnected.
 * @module
 */
import type * as http from "node:http";
import { setImmediate } from "node:timers/promises";
import { whenHandedOn } from "@bitternfall/connection";
import { CallerResponse } from "./caller_response.ts";
import type { CallOutcome } from "./plain_call.ts";
import {
  RequestProgress,
  RequestStage,
  type StageCounts,
} from "./request_progress.ts";
import type { UnreadAnswers } from "./unread_answers.ts";

const STALL_CHECK_INTERVAL_MS = 250;
/** Longest wait at the end of a stop for requests that have arrived and are not parsed. */
const MAX_HANDING_ON_MS = 100;
/** A refused request of which nothing has arrived for this many checks has stalled. */
const MAX_QUIET_CHECKS = 4;

/** How a request was ended that had no answer. */
export type EndedOutcome = Pick<CallOutcome, "status" | "reason">;

const DROPPED: EndedOutcome = {
  status: 499,
  reason: "the caller did not read its answer",
};

/** One request that is open. */
export class OpenRequest {
  readonly progress = new RequestProgress();
  readonly callerResponse: CallerResponse;
  readonly #callerAbort = new AbortController();
  readonly #req: http.IncomingMessage;
  #endedWith: EndedOutcome | undefined;
  #bytesRead = 0;
  #quietChecks = 0;

  constructor(res: http.ServerResponse, unread?: UnreadAnswers) {
    this.#req = res.req;
    this.callerResponse = new CallerResponse(res, unread);
    res.once("close", () => {
      if (!res.writableFinished) this.#callerAbort.abort();
    });
    res.on("error", () => this.#callerAbort.abort());
  }

  /** Aborted when the caller disconnects, or the request is ended. */
  get callerSignal(): AbortSignal {
    return this.#callerAbort.signal;
  }

  /** Resolves once what had been read of its connection has been parsed, or shortly after. */
  whenHandedOn(): Promise<void> {
    return whenHandedOn(this.#req.socket, { timeoutMs: MAX_HANDING_ON_MS });
  }

  get stage(): RequestStage {
    const { isHeadSent, isEnded } = this.callerResponse;
    return isHeadSent || isEnded ? RequestStage.Answering : this.progress.stage;
  }

  /** Whether the request was ended without the answer of a server. */
  get isEnded(): boolean {
    return this.#endedWith !== undefined;
  }

  /** How the request was ended, or its answer broken off; undefined if neither was. */
  get endedWith(): EndedOutcome | undefined {
    return this.callerResponse.isDropped ? DROPPED : this.#endedWith;
  }

  /** Tells the caller of a request that has no answer what is known of it. */
  end(): void {
    if (this.stage === RequestStage.Answering) return;
    this.#endedWith = this.progress.mayHaveRun
      ? { status: 504, reason: "no answer before this VM stopped" }
      : { status: 503, reason: "shutting down" };
    const { status, reason } = this.#endedWith;
    this.callerResponse.closeConnectionAfterwards();
    this.callerResponse.refuse(status, reason);
  }

  /** Ends what still runs for a request that was ended. */
  abortIfEnded(): void {
    if (this.isEnded) this.#callerAbort.abort();
  }

  /** Ends a refused request if its caller no longer sends it; called at intervals. */
  endIfStalled(): void {
    const { socket } = this.#req;
    // A request that waits for its turn to be read may have more to come.
    const isQuiet = this.callerResponse.isReceivingRefused &&
      !socket.isPaused() && socket.bytesRead === this.#bytesRead;
    this.#quietChecks = isQuiet ? this.#quietChecks + 1 : 0;
    this.#bytesRead = socket.bytesRead;
    if (this.#quietChecks >= MAX_QUIET_CHECKS) this.callerResponse.endRefusal();
  }
}

/** The open requests of a VM. */
export class OpenRequests {
  readonly #open = new Set<OpenRequest>();
  readonly #idleWaiters: (() => void)[] = [];
  readonly #unread: UnreadAnswers | undefined;
  #stallTimer: NodeJS.Timeout | undefined;

  /** `unread` limits what is held for callers that do not read their answers. */
  constructor(unread?: UnreadAnswers) {
    this.#unread = unread;
  }

  get size(): number {
    return this.#open.size;
  }

  /** Adds a request, which stays open until its response is closed. */
  add(res: http.ServerResponse): OpenRequest {
    const open = new OpenRequest(res, this.#unread);
    this.#open.add(open);
    res.once("close", () => {
      this.#open.delete(open);
      if (this.#open.size > 0) return;
      clearInterval(this.#stallTimer);
      for (const resolve of this.#idleWaiters.splice(0)) resolve();
    });
    return open;
  }

  /** Resolves once no request is open; refused ones that stall are ended from now on. */
  whenIdle(): Promise<void> {
    if (this.#open.size === 0) return Promise.resolve();
    clearInterval(this.#stallTimer);
    this.#stallTimer = setInterval(() => {
      for (const open of this.#open) open.endIfStalled();
    }, STALL_CHECK_INTERVAL_MS).unref();
    return new Promise((resolve) => this.#idleWaiters.push(resolve));
  }

  /** Closes the connection of each open request after its response. */
  closeConnectionsAfterResponses(): void {
    for (const { callerResponse } of this.#open) {
      callerResponse.closeConnectionAfterwards();
    }
  }

  /** Ends all requests that have no answer, once answers that are there were delivered. */
  async endUnanswered(): Promise<void> {
    // All that had arrived is read between the timers and the second of two turns.
    await setImmediate();
    const handedOn = [...this.#open].map((open) => open.whenHandedOn());
    await Promise.all(handedOn);
    const opens = [...this.#open];
    for (const open of opens) open.end();
    // Only now, since it takes longer than all of the answers.
    for (const open of opens) open.abortIfEnded();
  }

  /** Breaks off the answers that are still being sent. */
  abort(): void {
    for (const { callerResponse } of this.#open) callerResponse.abort();
  }

  countStages(): StageCounts {
    const counts = {
      [RequestStage.Reading]: 0,
      [RequestStage.Queued]: 0,
      [RequestStage.AtServer]: 0,
      [RequestStage.Answering]: 0,
    };
    for (const { stage } of this.#open) counts[stage]++;
    return counts;
  }
}
