import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { Direction, getCompletionText } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { callModel, type CallResult, type ModelCallOptions } from "./client.ts";
import type { Deployment } from "./deployment.ts";
import { countHeld, startTestDeployment, TEST_KEY } from "./test_deployment.ts";

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

function ask(
  prompt: string,
  options: Partial<ModelCallOptions> & { vm?: number } = {},
): Promise<CallResult> {
  const { vm = 0, ...rest } = options;
  return callModel({
    url: deployment.vms[vm]!.callerUrl,
    key: TEST_KEY,
    model: "planner",
    prompt,
    ...rest,
  });
}

/** The decode server that holds a request, once one does. */
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
  it("gets its own whole answer, streamed or whole, over any VM", async () => {
    const prompts = Array.from(
      { length: 12 },
      (_, index) => `Room ${index}: quote notes, please. `.repeat(index + 1),
    );
    const results = await Promise.all(
      prompts.map((prompt, index) => ask(prompt, { vm: index % 2 })),
    );
    for (const [index, result] of results.entries()) {
      expect(result).toMatchObject({
        whole: true,
        outcome: "ran",
        text: getCompletionText(prompts[index]!, 512),
      });
    }
    const whole = await ask(prompts[0]!, { stream: false });
    expect(whole.text).toBe(results[0]!.text);
  });

  it("keeps its whole answer when its decode server crashes in the middle", async () => {
    const prompt = "tag=crash len=120";
    const call = ask(prompt);
    const holder = await findHolder();
    await sleep(300);
    await deployment.setFaults(holder, { crash: true });
    expect(await call).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
  });

  it("keeps its whole answer when the connection to its decode server goes silent", async () => {
    const prompt = "tag=silent len=150";
    const call = ask(prompt);
    const holder = await findHolder();
    await sleep(300);
    deployment.getProxy(holder).silenceConnections(Direction.ToClient);
    expect(await call).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
    await expect.poll(() => countHeld(deployment), { timeout: 3000 }).toBe(0);
  });

  it("goes on elsewhere when its decode server makes no more progress", async () => {
    const prompt = "tag=frozen len=100";
    const call = ask(prompt);
    const holder = await findHolder();
    await deployment.setFaults(holder, { frozen: true });
    expect(await call).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
    await expect.poll(() => countHeld(deployment), { timeout: 3000 }).toBe(0);
  });

  it("drops doubled events", async () => {
    for (const id of ["decode-1", "decode-2"]) {
      await deployment.setFaults(id, { doubleEvents: true });
    }
    const prompt = "tag=doubled len=40";
    expect(await ask(prompt)).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
    for (const id of ["decode-1", "decode-2"]) {
      await deployment.setFaults(id, { doubleEvents: false });
    }
  });
});

describe("a caller that leaves", () => {
  async function leaveAfter(prompt: string, ms: number): Promise<void> {
    const leave = new AbortController();
    const call = ask(prompt, { signal: leave.signal });
    await sleep(ms);
    leave.abort();
    await call;
  }

  it("frees decode memory while its answer is decoded, though cancels are lost", async () => {
    for (const id of ["decode-1", "decode-2"]) {
      await deployment.setFaults(id, { loseCancels: 0.6 });
    }
    await leaveAfter("tag=leaves len=500", 500);
    await expect.poll(() => countHeld(deployment), { timeout: 3000 }).toBe(0);
  });

  it("frees decode memory while its transfer is stalled", async () => {
    for (const id of ["prefill-1", "prefill-2"]) {
      await deployment.setFaults(id, { transfersStalled: true });
    }
    const call = leaveAfter("tag=stalled len=100", 600);
    await expect.poll(() => countHeld(deployment), { timeout: 500 }).toBe(1);
    await call;
    await expect.poll(() => countHeld(deployment), { timeout: 3000 }).toBe(0);
  });

  it("stops its prefill", async () => {
    const ids = ["prefill-1", "prefill-2"];
    for (const id of ids) await deployment.setFaults(id, { slowdown: 60 });
    const leave = new AbortController();
    const prompt = "tag=prefill " + "case file ".repeat(400);
    const call = ask(prompt, { signal: leave.signal });
    const begun = async () => {
      const ledgers = await Promise.all(
        ids.map((id) =>
          deployment.readStandIn<{ starts: { tag: string }[] }>(id, "_ledger")
        ),
      );
      return ledgers.flatMap((ledger) => ledger.starts).map(({ tag }) => tag);
    };
    await expect.poll(begun, { timeout: 5000 }).toContain("prefill");
    leave.abort();
    await call;
    const unfinished = async () => {
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
    await expect.poll(unfinished, { timeout: 3000 }).toBe(1);
    expect(await countHeld(deployment)).toBe(0);
  });
});

describe("a repeat under the same key", () => {
  it("joins the running request and gets the same answer, over another VM too", async () => {
    const prompt = "tag=keyed len=60";
    const idempotencyKey = "quote-1";
    const first = ask(prompt, { idempotencyKey });
    await sleep(200);
    const [joined, original] = await Promise.all([
      ask(prompt, { idempotencyKey, vm: 1 }),
      first,
    ]);
    expect(original).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
    expect(joined).toMatchObject({ whole: true, text: original.text });
    const replayed = await ask(prompt, {
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

  it("is refused with another prompt", async () => {
    const idempotencyKey = "quote-2";
    await ask("tag=one len=5", { idempotencyKey });
    expect(await ask("tag=two len=5", { idempotencyKey, vm: 1 })).toMatchObject(
      { status: 422, outcome: "not-run" },
    );
  });
});

describe("a pool that fails half of its requests", () => {
  it("gets no more than a tenth of additional load", async () => {
    for (const id of ["prefill-1", "prefill-2"]) {
      await deployment.setFaults(id, { failShare: 0.5 });
    }
    const countStarts = async () => {
      let starts = 0;
      for (const { id } of deployment.spec.engines.lm!) {
        if (!id.startsWith("prefill")) continue;
        starts +=
          (await deployment.readStandIn<{ asked: number }>(id, "_ledger"))
            .asked;
      }
      return starts;
    };
    const before = await countStarts();
    const calls = 80;
    const results: CallResult[] = [];
    for (let call = 0; call < calls; call += 8) {
      const batch = Array.from(
        { length: 8 },
        (_, index) => ask(`tag=half len=3 ${call + index}`, { vm: index % 2 }),
      );
      results.push(...await Promise.all(batch));
    }
    for (const id of ["prefill-1", "prefill-2"]) {
      await deployment.setFaults(id, { failShare: 0 });
    }
    // Each VM's budget starts with two retries in hand.
    expect(await countStarts() - before).toBeLessThanOrEqual(calls * 1.1 + 4);
    for (const result of results) {
      expect(result.whole || result.outcome !== "ran").toBe(true);
    }
  });
});
