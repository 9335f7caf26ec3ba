import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { getCompletionText } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { callModel, type CallResult } from "./client.ts";
import type { Deployment, EntryVm } from "./deployment.ts";
import {
  countHeldStreams,
  startTestDeployment,
  TEST_KEY,
} from "./test_deployment.ts";

let deployment: Deployment;

beforeAll(async () => {
  deployment = await startTestDeployment({
    daemons: 6,
    zones: ["a", "b", "c"],
    parameters: { slots: 4 },
  });
});
afterAll(() => deployment.stop());

function requestCompletion(vm: EntryVm, prompt: string): Promise<CallResult> {
  return callModel({
    url: vm.callerUrl,
    key: TEST_KEY,
    model: "planner",
    prompt,
  });
}

async function findDispatcher(): Promise<EntryVm> {
  for (const vm of deployment.vms) {
    if (vm.state !== "up") continue;
    if ((await deployment.readStatus(vm))?.dispatcherOf.includes("lm")) {
      return vm;
    }
  }
  throw new Error("no running VM reports to be the dispatcher of lm");
}

async function restartAll(): Promise<void> {
  for (const vm of deployment.vms) {
    if (vm.state === "down") await deployment.restart(vm.id);
  }
  await deployment.waitUntilReady();
}

/**
 * Each of the six drains takes 3 s because of the balancer's lag, and each start takes
 * seconds on a busy machine. The test checks that no request is lost, not the duration.
 */
const ROLLING_TIMEOUT_MS = 60_000;

describe("six entry VMs", () => {
  for (const ending of ["killed", "drained"] as const) {
    it(`complete queued requests when their dispatcher is ${ending}`, async () => {
      const dispatcher = await findDispatcher();
      const others = deployment.vms.filter((vm) => vm !== dispatcher);
      const prompts = Array.from(
        { length: 16 },
        (_, index) => `tag=${ending}-${index} len=45`,
      );
      const calls = prompts.map((prompt, index) =>
        requestCompletion(others[index % others.length]!, prompt)
      );
      await sleep(400);
      dispatcher.vmState = "leaving";
      if (ending === "killed") await deployment.kill(dispatcher.id);
      else expect(await deployment.drain(dispatcher.id)).toBe(0);
      dispatcher.vmState = "live";
      for (const [index, result] of (await Promise.all(calls)).entries()) {
        const text = getCompletionText(prompts[index]!, 512);
        expect(result).toMatchObject({ whole: true, text });
      }
      expect((await findDispatcher()).id).not.toBe(dispatcher.id);
      await restartAll();
    });
  }

  it("free the decode memory of requests on a killed VM, also when the dispatcher is killed with it", async () => {
    const dispatcher = await findDispatcher();
    const entry = deployment.vms.find((vm) => vm !== dispatcher)!;
    for (const victims of [[entry], [entry, dispatcher]]) {
      const calls = Array.from(
        { length: 3 },
        (_, index) => requestCompletion(entry, `tag=orphan-${index} len=400`),
      );
      await expect.poll(() => countHeldStreams(deployment)).toBe(3);
      await Promise.all(victims.map((vm) => deployment.kill(vm.id)));
      await Promise.all(calls);
      await expect.poll(() => countHeldStreams(deployment), { timeout: 3000 })
        .toBe(0);
      await restartAll();
    }
  });

  it("free the decode memory of requests on a paused VM, and complete their responses once it resumes", async () => {
    const dispatcher = await findDispatcher();
    const entry = deployment.vms.find((vm) => vm !== dispatcher)!;
    const prompt = "tag=paused len=90";
    const call = requestCompletion(entry, prompt);
    await expect.poll(() => countHeldStreams(deployment)).toBe(1);
    deployment.setPaused(entry.id, true);
    await expect.poll(() => countHeldStreams(deployment), { timeout: 3500 })
      .toBe(0);
    deployment.setPaused(entry.id, false);
    expect(await call).toMatchObject({
      whole: true,
      text: getCompletionText(prompt, 512),
    });
  });

  it("lose no request when the connections between them go silent, and replace the connections", async () => {
    const calls = deployment.vms.map((vm, index) =>
      requestCompletion(vm, `tag=quiet-${index} len=60`)
    );
    for (const vm of deployment.vms) vm.peerProxy.silenceConnections();
    const laterCalls = deployment.vms.map((vm, index) =>
      requestCompletion(vm, `tag=later-${index} len=10`)
    );
    for (const result of await Promise.all([...calls, ...laterCalls])) {
      expect(result.whole).toBe(true);
    }
    await deployment.waitUntilReady();
  });

  it(
    "lose no request when they are restarted one after the other under load",
    async () => {
      const stop = new AbortController();
      const results: CallResult[] = [];
      // A balancer sends requests to ready VMs only; the process runs before that.
      let restarting: EntryVm | undefined;
      const load = Promise.all([0, 1, 2].map(async (worker) => {
        for (let call = 0; !stop.signal.aborted; call++) {
          const openVms = deployment.vms.filter((vm) =>
            vm.state === "up" && vm.vmState === "live" && vm !== restarting
          );
          results.push(
            await requestCompletion(
              openVms[(worker + call) % openVms.length]!,
              `tag=rolling-${worker}-${call} len=70`,
            ),
          );
        }
      }));
      for (const vm of deployment.vms) {
        vm.vmState = "leaving";
        expect(await deployment.drain(vm.id)).toBe(0);
        restarting = vm;
        vm.vmState = "live";
        await deployment.restart(vm.id);
        await deployment.waitUntilReady();
        restarting = undefined;
      }
      stop.abort();
      await load;
      expect(results.filter((result) => !result.whole)).toEqual([]);
      expect(results.length).toBeGreaterThan(10);
    },
    ROLLING_TIMEOUT_MS,
  );
});
