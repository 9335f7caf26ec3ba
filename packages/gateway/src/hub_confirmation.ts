/**
 * Whether a hub confirms that it knows all changes of objects, so that this VM may rely on it
 * and read the object API with a delay. A hub that is alive may itself know no changes: it
 * may be cut off from the object API, stand still, or be of a build that can't tell.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import { PeerError } from "@bitternfall/peer";
import {
  type Clock,
  drawSample,
  monotonicNow,
  sleep,
} from "@bitternfall/types";

/** What a hub knows of the objects. */
export interface ObjectsConfirmation {
  /** Age of the last answer of the object API to the hub. */
  readonly ageMs: number;
  /** Revision of the hub's objects. */
  readonly revision: number;
}

/** Options of a {@link HubConfirmation}. */
export interface HubConfirmationOptions {
  /** Ids of the other VMs that are hubs; none if this VM relies on no hub. */
  readonly listHubs: () => readonly string[];
  /**
   * Asks a hub; undefined if it may lack changes. Throws `PeerError` if it does not answer,
   * or does not know the question.
   */
  readonly ask: (hub: string) => Promise<ObjectsConfirmation | undefined>;
  /** A hub has confirmed what it knew at a time before now. */
  readonly onConfirmed: (confirmation: ObjectsConfirmation) => void;
  /** Called when {@link HubConfirmation.isValid} has changed. */
  readonly onChange: () => void;
  readonly log: Pick<EventLog, "emit">;
  readonly now?: Clock;
}

/** Mean interval at which a VM asks one of the hubs. */
const ASK_INTERVAL_MS = 500;
/**
 * How long an answer of the object API to a hub counts. With the time for an own read it
 * stays below the time within which a change must be applied; with the intervals of a hub's
 * reads and of the questions, one lost answer is borne.
 */
const VALID_MS = 2000;

enum Answer {
  Confirmed,
  /** The hub may lack changes, is not connected, or can't tell. */
  Denied,
  /** The hub has not answered in time. */
  Missing,
}

/** The hubs' latest confirmation. */
export class HubConfirmation {
  readonly #options: HubConfirmationOptions;
  readonly #now: Clock;
  #confirmedAt = -Infinity;
  #wasValid = false;
  #wake = new AbortController();

  constructor(options: HubConfirmationOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** Whether this VM may rely on a hub. */
  get isValid(): boolean {
    return this.#now() - this.#confirmedAt <= VALID_MS;
  }

  /** Asks again at once, since a hub may have been lost. */
  recheck(): void {
    this.#wake.abort();
  }

  /** Asks periodically until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#wake = new AbortController();
      const known = this.#options.listHubs();
      const hubs = drawSample(known, { count: known.length });
      if (hubs.length === 0) this.#confirmedAt = -Infinity;
      else await this.#askAny(hubs);
      if (signal.aborted) return;
      this.#reportChange();
      const endsInMs = this.#confirmedAt + VALID_MS - this.#now();
      const pauseMs = ASK_INTERVAL_MS * (0.75 + Math.random() / 2);
      await sleep(
        endsInMs > 0 ? Math.min(pauseMs, endsInMs + 1) : pauseMs,
        AbortSignal.any([signal, this.#wake.signal]),
      );
      this.#reportChange();
    }
  }

  /** Asks one hub, and all others if it does not confirm. */
  async #askAny([first, ...others]: readonly string[]): Promise<void> {
    const answer = await this.#ask(first!);
    if (answer === Answer.Confirmed) return;
    this.#reportChange();
    const answers = await Promise.all(others.map((hub) => this.#ask(hub)));
    // A late answer may come with the next question; a denial will not.
    if ([answer, ...answers].every((one) => one === Answer.Denied)) {
      this.#confirmedAt = -Infinity;
    }
  }

  async #ask(hub: string): Promise<Answer> {
    const askedAt = this.#now();
    let confirmation: ObjectsConfirmation | undefined;
    try {
      confirmation = await this.#options.ask(hub);
    } catch (err) {
      const isMissing = err instanceof PeerError && err.detail.tag === "lost";
      return isMissing ? Answer.Missing : Answer.Denied;
    }
    if (confirmation === undefined) return Answer.Denied;
    const confirmedAt = askedAt - confirmation.ageMs;
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    const ageMs = this.#now() - confirmedAt;
    this.#options.onConfirmed({ ...confirmation, ageMs });
    return Answer.Confirmed;
  }

  #reportChange(): void {
    const { isValid } = this;
    if (isValid === this.#wasValid) return;
    this.#wasValid = isValid;
    const { listHubs, log, onChange } = this.#options;
    log.emit("hubsConfirmed", { isValid, hubs: listHubs().length });
    onChange();
  }
}
