import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  findRetryOverrun,
  Misbehaviour,
  type StagedServer,
} from "@bitternfall/stand-ins";
import { monotonicNow } from "@bitternfall/types";
import { TEST_ROUTES, TestGateway } from "./test_gateway.ts";

/** A budget without a share of the requests, so that only the slack may be spent. */
const BUDGET = { ratio: 0, slack: 10 };
const WINDOW_MS = 10_000;

let deployment: TestGateway;
const requestTimes: number[] = [];

beforeEach(async () => {
  requestTimes.length = 0;
  deployment = new TestGateway();
  // The budget ends the retries, not the routes' limit of attempts.
  await deployment.start({
    routes: TEST_ROUTES.map((route) => ({ ...route, maxAttempts: 4 })),
  });
});
afterEach(() => deployment.close());

function findOverrun(servers: readonly StagedServer[]) {
  const arrivals = servers.flatMap(({ receivedRequests }) => receivedRequests);
  const bound = { ...BUDGET, windowMs: WINDOW_MS };
  return findRetryOverrun(arrivals, requestTimes, bound);
}

async function sendAll(
  count: number,
  send: (id: string) => Promise<unknown>,
): Promise<void> {
  const ids = Array.from({ length: count }, () => {
    requestTimes.push(monotonicNow());
    return `r${requestTimes.length}`;
  });
  await Promise.all(ids.map(send));
}

async function addModelServers(): Promise<void> {
  const lm = { service: "lm" };
  await deployment.addServer({ id: "p1", role: "prefill", ...lm });
  await deployment.addServer({ id: "d1", role: "decode", ...lm });
  await deployment.addServer({ id: "d2", role: "decode", ...lm });
}

describe("the retry budget of a service, over all VMs", () => {
  // Guards against a new allowance for each VM that takes the dispatcher role over.
  it("holds while its dispatchers are killed one after the other", async () => {
    await addModelServers();
    for (const server of deployment.servers.slice(1)) {
      server.misbehaviour = Misbehaviour.Refuse;
    }
    for (let takeover = 0; takeover < 5; takeover++) {
      const gateway = await deployment.addGateway({ retryBudget: BUDGET });
      await sendAll(8, (id) => deployment.stream({ id }, takeover));
      await gateway.close();
    }
    expect(findOverrun(deployment.servers)).toBeUndefined();
  });

  // Guards against a new share of the budget for each process that starts.
  it("holds for a plain service while VMs restart", async () => {
    await deployment.addServer({ id: "s1" });
    await deployment.addServer({ id: "s2" });
    for (const server of deployment.servers) {
      server.misbehaviour = Misbehaviour.Refuse;
    }
    for (let restart = 0; restart < 4; restart++) {
      const gateway = await deployment.addGateway({ retryBudget: BUDGET });
      await sendAll(
        12,
        (id) => deployment.send({ id, path: "/safe/x" }, restart),
      );
      await gateway.close();
    }
    expect(findOverrun(deployment.servers)).toBeUndefined();
  });

  // Guards against a refused prefill that is taken for no arrival at all.
  it("is charged for the call after a refused prefill", async () => {
    await addModelServers();
    await deployment.addServer({ id: "p2", role: "prefill", service: "lm" });
    const [first, , , second] = deployment.servers;
    const gateway = await deployment.addGateway({
      retryBudget: { ratio: 0, slack: 0 },
    });
    for (const refusing of [first!, second!]) {
      refusing.misbehaviour = Misbehaviour.Refuse;
      await sendAll(4, (id) => deployment.stream({ id }));
      refusing.misbehaviour = Misbehaviour.None;
    }
    const arrivals = deployment.servers.flatMap(({ receivedRequests }) =>
      receivedRequests
    );
    expect(arrivals.some(({ isRefused }) => isRefused)).toBe(true);
    expect(
      findRetryOverrun(arrivals, requestTimes, {
        ratio: 0,
        slack: 0,
        windowMs: WINDOW_MS,
      }),
    ).toBeUndefined();
    await gateway.close();
  });
});
