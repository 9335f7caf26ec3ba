import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { Direction, getCompletionText } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { callModel, type CallResult, type ModelCallOptions } from "./client.ts";
import type { Deployment } from "./deployment.ts";
import {
  countHeldStreams,
  startTestDeployment,
  TEST_KEY,
} from "./test_deployment.ts";

let deployment: Deployment;

beforeAll(async () => {
  deployment = await startTestDeployment({ prefills: 2 });
});
afterAll(() => deployment.stop());
afterEach(async () => {
  for (const { id } of deployment.spec.engines.lm!) {
    await deployment.setFaults(id, {
      frozen: false,
      transfersStalled: false,
      slowdown: 1,
      loseCancels: 0,
    });
  }
});

function requestCompletion(
  prompt: string,
  options: Partial<ModelCallOptions> & { vm?: number } = {},
): Promise<CallResult> {
  const { vm = 0, ...callOptions } = options;
  return callModel({
    url: deployment.vms[vm]!.callerUrl,
    key: TEST_KEY,
    model: "planner",
    prompt,
    ...callOptions,
  });
}

/** Waits until a decode server holds a request and returns its id. */
async function findHolder(): Promise<string> {
  let holder = "";
  await expect.poll(async () => {
    for (const { id, role } of deployment.spec.engines.lm!) {
      if (role !== "decode") continue;
      const held = await (await fetch(`${deployment.standIns[id]}/_held`))
        .json() as { tag: string }[];
      if (held.some(({ tag }) => tag !== "")) holder = id;
    }
    return holder;
  }, { timeout: 5000 }).not.toBe("");
  return holder;
}

describe("a model request", () => {
  it("gets its own complete response over any VM, streamed or not", async () => {
    const prompts = Array.from(
      { length: 12 },
      (_, index) => `Room ${index}: quote notes, please. `.repeat(index + 1),
    );
    const results = await Promise.all(
      prompts.map((prompt, index) =>
        requestCompletion(prompt, { vm: index % 2 })
      ),
    );
    for (const [index, result] of results.entries()) {
      expect(result).toMatchObject({
        whole: true,
        outcome: "ran",
        text: getCompletionText(prompts[index]!, 512),
      });
    }
    const unstreamed = await requestCompletion(prompts[0]!, { stream: false });
    expect(unstreamed.text).toBe(results[0]!.text);
  });

  it("gets its complete response when its decode server crashes during the stream", async () => {
    const prompt = "tag=crash len=120";
    const call = requestCompletion(prompt);
    const holder = await findHolder();
    await sleep(300);
    await deployment.setFaults(holder, { crash: true });
    expect(await call).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
  });

  it("gets its complete response when the connection to its decode server goes silent", async () => {
    const prompt = "tag=silent len=150";
    const call = requestCompletion(prompt);
    const holder = await findHolder();
    await sleep(300);
    deployment.getProxy(holder).silenceConnections(Direction.ToClient);
    expect(await call).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
    await expect.poll(() => countHeldStreams(deployment), { timeout: 3000 })
      .toBe(0);
  });

  it("completes on another decode server when its own stops making progress", async () => {
    const prompt = "tag=frozen len=100";
    const call = requestCompletion(prompt);
    const holder = await findHolder();
    await deployment.setFaults(holder, { frozen: true });
    expect(await call).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
    await expect.poll(() => countHeldStreams(deployment), { timeout: 3000 })
      .toBe(0);
  });

  it("gets each event once when the decode server sends events twice", async () => {
    for (const id of ["decode-1", "decode-2"]) {
      await deployment.setFaults(id, { doubleEvents: true });
    }
    const prompt = "tag=doubled len=40";
    expect(await requestCompletion(prompt)).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
    for (const id of ["decode-1", "decode-2"]) {
      await deployment.setFaults(id, { doubleEvents: false });
    }
  });
});

describe("a caller that disconnects", () => {
  async function disconnectAfter(prompt: string, ms: number): Promise<void> {
    const disconnect = new AbortController();
    const call = requestCompletion(prompt, { signal: disconnect.signal });
    await sleep(ms);
    disconnect.abort();
    await call;
  }

  it("frees its decode memory during decoding, also when cancel requests are lost", async () => {
    for (const id of ["decode-1", "decode-2"]) {
      await deployment.setFaults(id, { loseCancels: 0.6 });
    }
    await disconnectAfter("tag=leaves len=500", 500);
    await expect.poll(() => countHeldStreams(deployment), { timeout: 3000 })
      .toBe(0);
  });

  it("frees its decode memory while the KV cache transfer is stalled", async () => {
    for (const id of ["prefill-1", "prefill-2"]) {
      await deployment.setFaults(id, { transfersStalled: true });
    }
    const call = disconnectAfter("tag=stalled len=100", 600);
    await expect.poll(() => countHeldStreams(deployment), { timeout: 500 })
      .toBe(1);
    await call;
    await expect.poll(() => countHeldStreams(deployment), { timeout: 3000 })
      .toBe(0);
  });

  it("stops its prefill", async () => {
    const ids = ["prefill-1", "prefill-2"];
    for (const id of ids) await deployment.setFaults(id, { slowdown: 60 });
    const disconnect = new AbortController();
    const prompt = "tag=prefill " + "case file ".repeat(400);
    const call = requestCompletion(prompt, { signal: disconnect.signal });
    const listStartedTags = async () => {
      const ledgers = await Promise.all(
        ids.map((id) =>
          deployment.readStandIn<{ starts: { tag: string }[] }>(id, "_ledger")
        ),
      );
      return ledgers.flatMap((ledger) => ledger.starts).map(({ tag }) => tag);
    };
    await expect.poll(listStartedTags, { timeout: 5000 }).toContain("prefill");
    disconnect.abort();
    await call;
    const countUnfinishedPrefills = async () => {
      const ledgers = await Promise.all(
        ["prefill-1", "prefill-2"].map((id) =>
          deployment.readStandIn<
            { prefills: { done: boolean; tokens: number }[] }
          >(id, "_ledger")
        ),
      );
      return ledgers.flatMap((ledger) => ledger.prefills).filter((prefill) =>
        !prefill.done
      ).length;
    };
    await expect.poll(countUnfinishedPrefills, { timeout: 3000 }).toBe(1);
    expect(await countHeldStreams(deployment)).toBe(0);
  });
});

describe("a retry with the same idempotency key", () => {
  it("joins the request in flight and gets the same response, also over another VM", async () => {
    const prompt = "tag=keyed len=60";
    const idempotencyKey = "quote-1";
    const first = requestCompletion(prompt, { idempotencyKey });
    await sleep(200);
    const [joined, original] = await Promise.all([
      requestCompletion(prompt, { idempotencyKey, vm: 1 }),
      first,
    ]);
    expect(original).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
    expect(joined).toMatchObject({ whole: true, text: original.text });
    const replayed = await requestCompletion(prompt, {
      idempotencyKey,
      vm: 1,
      stream: false,
    });
    expect(replayed).toMatchObject({ whole: true, text: original.text });
    const ledgers = await Promise.all(
      ["prefill-1", "prefill-2"].map((id) =>
        deployment.readStandIn<{ starts: { tag: string }[] }>(id, "_ledger")
      ),
    );
    expect(
      ledgers.flatMap((ledger) => ledger.starts).filter((start) =>
        start.tag === "keyed"
      ).length,
    ).toBe(1);
  });

  it("is refused if its prompt differs", async () => {
    const idempotencyKey = "quote-2";
    await requestCompletion("tag=one len=5", { idempotencyKey });
    expect(await requestCompletion("tag=two len=5", { idempotencyKey, vm: 1 }))
      .toMatchObject(
        { status: 422, outcome: "not-run" },
      );
  });
});

describe("a pool that fails half of its requests", () => {
  it("gets at most a tenth more requests because of retries", async () => {
    for (const id of ["prefill-1", "prefill-2"]) {
      await deployment.setFaults(id, { failShare: 0.5 });
    }
    const countPrefillRequests = async () => {
      let starts = 0;
      for (const { id } of deployment.spec.engines.lm!) {
        if (!id.startsWith("prefill")) continue;
        starts +=
          (await deployment.readStandIn<{ asked: number }>(id, "_ledger"))
            .asked;
      }
      return starts;
    };
    const before = await countPrefillRequests();
    const calls = 80;
    const results: CallResult[] = [];
    for (let call = 0; call < calls; call += 8) {
      const batch = Array.from(
        { length: 8 },
        (_, index) =>
          requestCompletion(`tag=half len=3 ${call + index}`, {
            vm: index % 2,
          }),
      );
      results.push(...await Promise.all(batch));
    }
    for (const id of ["prefill-1", "prefill-2"]) {
      await deployment.setFaults(id, { failShare: 0 });
    }
    // The retry budget of each of the two VMs starts with two retries.
    expect(await countPrefillRequests() - before).toBeLessThanOrEqual(
      calls * 1.1 + 4,
    );
    for (const result of results) {
      expect(result.whole || result.outcome !== "ran").toBe(true);
    }
  });
});
