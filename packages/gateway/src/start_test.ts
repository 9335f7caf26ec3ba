import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ObjectStore } from "@bitternfall/platform";
import { monotonicNow, sleep } from "@bitternfall/types";
import { MEMBER_PREFIX } from "./object_view.ts";
import { SERVICE_RECORD_PREFIX } from "./service_record_store.ts";
import { TestGateway } from "./test_gateway.ts";

const DELAY_MS = 300;

let deployment: TestGateway;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start();
});
afterEach(async () => {
  vi.restoreAllMocks();
  await deployment.close();
});

describe("a VM that starts", () => {
  // Guards against a VM that stays unready since the list that came last announced nothing.
  for (const lastPrefix of [SERVICE_RECORD_PREFIX, MEMBER_PREFIX, "servers/"]) {
    it(`is ready once it has read everything, ${lastPrefix} last`, async () => {
      const { list } = ObjectStore.prototype;
      vi.spyOn(ObjectStore.prototype, "list").mockImplementation(
        async function (this: ObjectStore, prefix: string) {
          if (prefix === lastPrefix) await sleep(DELAY_MS);
          return list.call(this, prefix);
        },
      );
      const startedAt = monotonicNow();
      await deployment.addGateway();
      expect(monotonicNow() - startedAt).toBeGreaterThanOrEqual(DELAY_MS - 1);
    });
  }
});
