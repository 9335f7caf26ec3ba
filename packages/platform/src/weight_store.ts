/**
 * Client of the weight store, whose transfer rate limits how fast engines load weights.
 * @module
 */
import { HttpClient } from "@bitternfall/connection";
import * as zod from "zod";

const infoSchema = zod.object({
  bytes: zod.number().positive(),
  bytesPerSecond: zod.number().positive(),
});

/** Reads size and transfer rate of model weights. */
export class WeightStoreClient {
  readonly #client: HttpClient;

  constructor(address: string) {
    this.#client = new HttpClient(address);
  }

  /** Milliseconds that one load takes at the store's rate; undefined when unknown. */
  async getLoadMs(name: string): Promise<number | undefined> {
    try {
      const { json } = await this.#client.callJson({
        path: `/weights/${encodeURIComponent(name)}`,
      });
      const parsed = infoSchema.safeParse(json);
      return parsed.success
        ? parsed.data.bytes / parsed.data.bytesPerSecond * 1000
        : undefined;
    } catch {
      return undefined;
    }
  }

  async close(): Promise<void> {
    await this.#client.close();
  }
}
