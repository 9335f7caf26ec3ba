/**
 * Finds out whether a server has ended under a request, and reports it.
 * @module
 */
import { probeAddress, ProbeResult } from "@bitternfall/connection";
import type { CrashRegistry } from "@bitternfall/dispatch-host";
import type { ServerEntry } from "./model.ts";
import type { CallableServer } from "./server_client.ts";

/** A server; `bornAt` may be unknown. */
export type CrashedServer =
  & CallableServer
  & Partial<Pick<ServerEntry, "bornAt">>;

/** Time for a server that closed a connection to answer on a new one. */
const ALIVE_CHECK_TIMEOUT_MS = 300;

/** Reports servers that end under this VM's requests. */
export class CrashReporter {
  readonly #crashes: Pick<CrashRegistry, "report">;

  constructor(crashes: Pick<CrashRegistry, "report">) {
    this.#crashes = crashes;
  }

  /**
   * Reports a server that broke a request's connection before it wrote anything, if it has
   * ended. Resolves whether it has.
   */
  async reportIfEnded(
    { id, host, port, bornAt = 0 }: CrashedServer,
    req: { service: string; requestId: string; parts: readonly number[] },
  ): Promise<boolean> {
    const timeoutMs = ALIVE_CHECK_TIMEOUT_MS;
    const probed = await probeAddress({ host, port, timeoutMs });
    if (probed !== ProbeResult.Refuses) return false;
    const { service, requestId, parts } = req;
    const process = `${id}@${bornAt}`;
    this.#crashes.report(service, { process, requestId, parts });
    return true;
  }
}
