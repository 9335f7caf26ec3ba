/**
 * Finds out whether a server has ended under a request, and reports it.
 * @module
 */
import { probeAddress, ProbeResult } from "@bitternfall/connection";
import type { CrashRegistry } from "@bitternfall/dispatch-host";
import type { Clock } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";
import type { CallableServer } from "./server_client.ts";
import type { ServerLinks } from "./server_links.ts";

/** A server; `bornAt` may be unknown. */
export type CrashedServer =
  & CallableServer
  & Partial<Pick<ServerEntry, "bornAt">>;

/** Time for a server that closed a connection to answer on a new one. */
const ALIVE_CHECK_TIMEOUT_MS = 300;

/** Options of a {@link CrashReporter}. */
export interface CrashReporterOptions {
  readonly crashes: Pick<CrashRegistry, "report">;
  readonly links: Pick<ServerLinks, "areSound">;
  readonly now: Clock;
}

/** Reports servers that end under this VM's requests. */
export class CrashReporter {
  readonly #options: CrashReporterOptions;

  constructor(options: CrashReporterOptions) {
    this.#options = options;
  }

  /**
   * Reports a server that broke a request's connection before it wrote anything, if it has
   * ended. Resolves whether it has.
   */
  async reportIfEnded(
    { id, host, port, bornAt = 0 }: CrashedServer,
    req: {
      service: string;
      requestId: string;
      parts: readonly number[];
      answerBy: number;
    },
  ): Promise<boolean> {
    const { crashes, links, now } = this.#options;
    const timeoutMs = ALIVE_CHECK_TIMEOUT_MS;
    const brokeAt = now();
    const probed = await probeAddress({ host, port, timeoutMs });
    if (probed !== ProbeResult.Refuses) return false;
    // A refused connection may also be due to the path.
    const { service, requestId, parts, answerBy } = req;
    const times = { since: brokeAt, answerBy };
    if (!await links.areSound(service, times)) return false;
    const process = `${id}@${bornAt}`;
    crashes.report(service, { process, requestId, parts });
    return true;
  }
}
