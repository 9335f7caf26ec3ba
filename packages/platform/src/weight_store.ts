/**
 * Client of the weight store, whose rate bounds how fast engines may load weights.
 * @module
 */
import { HttpClient } from "@bitternfall/connection";
import * as zod from "zod";

const infoSchema = zod.object({
  bytes: zod.number().positive(),
  bytesPerSecond: zod.number().positive(),
});

/** The weight store. */
export class WeightStoreClient {
  readonly #connection: HttpClient;

  constructor(address: string) {
    this.#connection = new HttpClient(address);
  }

  /** How long one load takes at the store's rate, in milliseconds; undefined when unknown. */
  async getLoadMs(name: string): Promise<number | undefined> {
    try {
      const { json } = await this.#connection.callJson({
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
    await this.#connection.close();
  }
}
