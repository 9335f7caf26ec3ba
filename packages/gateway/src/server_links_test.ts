import * as fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import { createRandom } from "@bitternfall/stand-ins";
import { drawSample, sleep } from "@bitternfall/types";
import { ServerLinks, type ServerLinksOptions } from "./server_links.ts";

const SERVERS = ["s1", "s2", "s3", "s4", "s5", "s6"].map((id, index) => ({
  id,
  host: "127.0.0.1",
  port: index + 1,
}));

let log: EventLog;
let stop: AbortController;
let now: number;
/** Servers that this VM reaches, and that other VMs reach. */
let reached: Set<string>;
let reachedByOthers: Set<string>;
let asked: number;
let findDelayMs: number;
let areOthersUp: boolean;

beforeEach(() => {
  log = new EventLog({ level: "fatal" });
  stop = new AbortController();
  now = 0;
  asked = 0;
  findDelayMs = 0;
  areOthersUp = true;
  reached = new Set(SERVERS.map(({ id }) => id));
  reachedByOthers = new Set(reached);
});
afterEach(async () => {
  stop.abort();
  await log.close();
});

function createLinks(
  options: Partial<ServerLinksOptions> = {},
): ServerLinks {
  return new ServerLinks({
    log,
    listServers: () => SERVERS,
    getVmCount: () => 2,
    findHelpers: async (ids) => {
      asked++;
      await sleep(findDelayMs);
      if (!areOthersUp) return undefined;
      return ids.some((id) => reachedByOthers.has(id)) ? ["vm-2"] : [];
    },
    signal: stop.signal,
    probe: ({ id }) => Promise.resolve(reached.has(id)),
    now: () => now,
    ...options,
  });
}

describe("the links of a VM to the servers of a service", () => {
  it("are lost if it reaches none that another VM reaches, and then restored", async () => {
    const links = createLinks();
    reached.clear();
    expect(
      await links.checkAfterFailure("app", { since: now, answerBy: Infinity }),
    ).toBe(true);
    expect(links.getHelpers("app")).toEqual(["vm-2"]);
    reached.add("s1");
    for (const { id } of SERVERS) reached.add(id);
    while (links.areLost("app")) await sleep(20);
    expect(links.getHelpers("app")).toEqual([]);
  });

  // Guards against a lost zone, a release or a single server that is taken for lost links.
  it("are not lost where one server, or all of them, are down for every VM", async () => {
    const links = createLinks();
    reached.delete("s1");
    expect(
      await links.checkAfterFailure("app", { since: now, answerBy: Infinity }),
    ).toBe(false);
    reached.clear();
    reachedByOthers.clear();
    now = 2000;
    expect(
      await links.checkAfterFailure("app", { since: now, answerBy: Infinity }),
    ).toBe(false);
  });

  // Guards against probes at every failure of a busy VM.
  it("are not examined if a server has answered since", async () => {
    const links = createLinks();
    reached.clear();
    now = 10;
    links.onAnswered("app");
    expect(
      await links.checkAfterFailure("app", { since: 5, answerBy: Infinity }),
    ).toBe(false);
    expect(asked).toBe(0);
    now = 12;
    expect(
      await links.checkAfterFailure("app", { since: 11, answerBy: Infinity }),
    ).toBe(true);
  });

  // Guards against a service with few requests, which would find its loss much later.
  it("are examined for all services when those to one are lost", async () => {
    const links = createLinks();
    links.onAnswered("lm");
    now = 10;
    reached.clear();
    await links.checkAfterFailure("app", { since: now, answerBy: Infinity });
    while (!links.areLost("lm")) await sleep(5);
  });

  // Guards against answers that come after their deadline because of the check.
  it("count as sound if it is not known in time", async () => {
    const links = createLinks();
    reached.clear();
    findDelayMs = 300;
    const startedAt = performance.now();
    expect(
      await links.checkAfterFailure("app", { since: 0, answerBy: now + 50 }),
    ).toBe(false);
    expect(performance.now() - startedAt).toBeLessThan(200);
    while (!links.areLost("app")) await sleep(20);
  });

  // Guards against servers that are reported as ended because nobody could be asked.
  it("are not taken for sound while no other VM says what it reaches", async () => {
    const links = createLinks();
    reached.clear();
    areOthersUp = false;
    const times = { since: now, answerBy: Infinity };
    expect(await links.areSound("app", times)).toBe(false);
    expect(links.areLost("app")).toBe(false);
    areOthersUp = true;
    reachedByOthers.clear();
    expect(await links.areSound("app", times)).toBe(true);
  });

  // Guards against servers that are reported as ended where half of the VMs are cut off.
  it("are lost for a VM that is cut off with half of the others, whichever are asked", async () => {
    const random = createRandom(35);
    const others = Array.from({ length: 29 }, (_, index) => `vm-${index}`);
    const reaching = new Set(others.slice(0, 15));
    reached.clear();
    for (let run = 0; run < 300; run++) {
      const links = createLinks({
        getVmCount: () => others.length + 1,
        findHelpers: (_ids, { maxAsked: count }) =>
          Promise.resolve(
            drawSample(others, { count, random }).filter((id) =>
              reaching.has(id)
            ),
          ),
      });
      const times = { since: now, answerBy: Infinity };
      expect(await links.areSound("app", times)).toBe(false);
    }
    stop.abort();
  });

  it("are examined once for failures at the same time", async () => {
    const links = createLinks();
    reached.clear();
    const checks = Array.from(
      { length: 20 },
      () => links.checkAfterFailure("app", { since: 0, answerBy: Infinity }),
    );
    expect(await Promise.all(checks)).toEqual(Array(20).fill(true));
    expect(asked).toBe(1);
  });

  // Guards against a verdict that either side alone brings about.
  it("are lost only if no server is reached that others reach, whichever are down", async () => {
    const ids = SERVERS.map(({ id }) => id);
    await fc.assert(
      fc.asyncProperty(
        fc.subarray(ids),
        fc.subarray(ids),
        async (own, others) => {
          reached = new Set(own);
          reachedByOthers = new Set(others);
          const areLost = await createLinks().checkAfterFailure("app", {
            since: 0,
            answerBy: Infinity,
          });
          if (own.length === 0 && others.length === ids.length) {
            expect(areLost).toBe(true);
          }
          if (own.length > 0 || others.length === 0) {
            expect(areLost).toBe(false);
          }
        },
      ),
      { seed: 34, numRuns: 300 },
    );
  });
});
