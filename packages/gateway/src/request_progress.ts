/**
 * How far a request has come: what a VM that stops needs to tell its caller.
 * @module
 */

/** The stage that a request has reached. */
export enum RequestStage {
  /** Its body is being read. */
  Reading = "reading",
  /** It waits for a server. */
  Queued = "queued",
  /** It has been sent to a server, which has not answered. */
  AtServer = "atServer",
  /** Its answer is being sent to the caller. */
  Answering = "answering",
}

/** Requests by the stage that they have reached. */
export type StageCounts = Readonly<Record<RequestStage, number>>;

/** What is known of the sends of one request. */
export class RequestProgress {
  /** Whether the request has been read to its end. */
  isRead = false;
  #pendingSends = 0;
  #possibleRuns = 0;

  /** Whether a server, or another VM, may have run the request. */
  get mayHaveRun(): boolean {
    return this.#possibleRuns > 0;
  }

  /** The stage of a request that has no answer yet. */
  get stage(): RequestStage {
    if (!this.isRead) return RequestStage.Reading;
    return this.mayHaveRun || this.#pendingSends > 0
      ? RequestStage.AtServer
      : RequestStage.Queued;
  }

  /**
   * Records the begin of a send. The returned function records its end, and whether the
   * request may have run; a prefill alone runs nothing.
   */
  beginSend({ isPrefill = false } = {}): (mayHaveRun: boolean) => void {
    this.#pendingSends++;
    if (!isPrefill) this.#possibleRuns++;
    return (mayHaveRun) => {
      this.#pendingSends--;
      if (!isPrefill && !mayHaveRun) this.#possibleRuns--;
    };
  }
}
