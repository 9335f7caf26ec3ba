/**
 * Trials of blocked requests. The VM that dispatches a service counts them for all VMs, so
 * that a verdict on a sound request ends with its first run, and one on a request that ends
 * servers costs few more of them.
 * @module
 */
import type { CrashRegistry } from "@bitternfall/dispatch-host";
import { type Clock, monotonicNow } from "@bitternfall/types";
import { type ProbedServer, reachesAny } from "./server_links.ts";

/** A request for one trial. */
export interface TrialRequest {
  readonly service: string;
  /** Parts by which the request is blocked. */
  readonly parts: readonly number[];
}

/** Options of {@link CrashTrials}. */
export interface CrashTrialsOptions {
  readonly crashes: Pick<CrashRegistry, "isTrialDue" | "startTrial">;
  readonly listServers: (service: string) => readonly ProbedServer[];
  /** Whether this VM dispatches a service. */
  readonly isOwner: (service: string) => boolean;
  /** Asks the VM that does; false if it does not answer. */
  readonly askOwner: (req: TrialRequest) => Promise<boolean>;
  readonly now?: Clock;
}

/** Time until the owner is asked again that has refused a trial. */
const ASK_AGAIN_MS = 300;

/** Decides on trials of the services that this VM dispatches, and asks for others. */
export class CrashTrials {
  readonly #options: CrashTrialsOptions;
  readonly #now: Clock;
  /** Time at which the owner of a service may be asked again. */
  readonly #askAgainAt = new Map<string, number>();

  constructor(options: CrashTrialsOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** Whether a blocked request of this VM may be tried once. */
  async request(req: TrialRequest): Promise<boolean> {
    const { service, parts } = req;
    const { crashes, isOwner, askOwner } = this.#options;
    if (!crashes.isTrialDue(service, parts)) return false;
    if ((this.#askAgainAt.get(service) ?? 0) > this.#now()) return false;
    this.#askAgainAt.set(service, this.#now() + ASK_AGAIN_MS);
    return isOwner(service) ? await this.start(req) : await askOwner(req);
  }

  /** Counts a trial if it is due and a server takes connections. */
  async start({ service, parts }: TrialRequest): Promise<boolean> {
    const { crashes, listServers, isOwner } = this.#options;
    if (!isOwner(service) || !crashes.isTrialDue(service, parts)) {
      return false;
    }
    // Where no server is up, a trial would tell nothing.
    if (!await reachesAny(listServers(service))) return false;
    return crashes.startTrial(service, parts);
  }
}
