/**
 * Client of the platform's VM list. The list lags behind the state of the VMs.
 * @module
 */
import { HttpClient } from "@bitternfall/connection";
import type { VmListEntry } from "@bitternfall/types";
import * as zod from "zod";

/** Schema of the VM list, from the platform or relayed by a peer. */
export const vmListSchema = zod.array(zod.object({
  id: zod.string().min(1),
  kind: zod.enum(["entry", "upstream"]),
  address: zod.string(),
  availabilityZone: zod.string(),
  cell: zod.string().optional(),
  state: zod.enum(["live", "leaving"]),
}));

const replySchema = zod.object({ vms: vmListSchema });

/** Reads the platform's VM list. */
export class VmListClient {
  readonly #client: HttpClient;

  constructor(address: string, options: { timeoutMs?: number } = {}) {
    this.#client = new HttpClient(address, options);
  }

  /** Reads the list; undefined when the call fails or the response is malformed. */
  async read(): Promise<readonly VmListEntry[] | undefined> {
    try {
      const { status, json } = await this.#client.callJson({
        path: "/vms",
      });
      const parsed = replySchema.safeParse(json);
      return status === 200 && parsed.success ? parsed.data.vms : undefined;
    } catch {
      return undefined;
    }
  }

  async close(): Promise<void> {
    await this.#client.close();
  }
}
