import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { PeerError } from "@bitternfall/peer";
import {
  HubConfirmation,
  type ObjectsConfirmation,
} from "./hub_confirmation.ts";

/** What a hub does when it is asked. */
enum Hub {
  Confirms,
  /** Its own reads are stale, or fail. */
  Denies,
  /** It is not connected, or does not know the question. */
  Refuses,
  /** It does not answer in time. */
  Hangs,
}

/** Within it, a change that the object API has accepted must be applied. */
const CONFIG_APPLY_MS = 3000;
const TIMEOUT_MS = 400;
const AGE_MS = 500;
const HUBS = ["h1", "h2", "h3", "h4", "h5"];

let hubs: Map<string, Hub>;
let asked: number;
let changes: boolean[];
let confirmed: ObjectsConfirmation[];
let confirmation: HubConfirmation;
let stop: AbortController;

async function ask(hub: string): Promise<ObjectsConfirmation | undefined> {
  asked++;
  const kind = hubs.get(hub);
  if (kind === Hub.Confirms) return { ageMs: AGE_MS, revision: 7 };
  if (kind === Hub.Denies) return undefined;
  if (kind === Hub.Refuses) throw new PeerError({ tag: "refused" }, "unknown");
  await new Promise((resolve) => setTimeout(resolve, TIMEOUT_MS));
  throw new PeerError({ tag: "lost" }, "no reply");
}

beforeEach(async () => {
  vi.useFakeTimers();
  hubs = new Map(HUBS.map((hub) => [hub, Hub.Confirms]));
  asked = 0;
  changes = [];
  confirmed = [];
  stop = new AbortController();
  confirmation = new HubConfirmation({
    listHubs: () => [...hubs.keys()],
    ask,
    onConfirmed: (one) => confirmed.push(one),
    onChange: () => changes.push(confirmation.isValid),
    log: { emit: () => {} },
    now: () => Date.now(),
  });
  void confirmation.run(stop.signal);
  await vi.advanceTimersByTimeAsync(10);
});
afterEach(() => {
  stop.abort();
  vi.useRealTimers();
});

const setAll = (kind: Hub) => {
  for (const hub of HUBS) hubs.set(hub, kind);
};

describe("HubConfirmation", () => {
  // Guards against questions whose number grows with the hubs.
  it("asks one hub at a time while it confirms", async () => {
    expect(changes).toEqual([true]);
    expect(confirmed[0]).toEqual({ ageMs: AGE_MS, revision: 7 });
    await vi.advanceTimersByTimeAsync(10_000);
    expect(asked).toBeLessThan(28);
    expect(changes).toEqual([true]);
  });

  it.each([Hub.Denies, Hub.Refuses, Hub.Hangs])(
    "holds while one hub of five confirms and the others are %s",
    async (kind) => {
      setAll(kind);
      hubs.set("h3", Hub.Confirms);
      await vi.advanceTimersByTimeAsync(20_000);
      expect(changes).toEqual([true]);
    },
  );

  // Guards against a VM that relies on hubs which know no changes any more.
  it.each([Hub.Denies, Hub.Refuses, Hub.Hangs])(
    "ends in time after all hubs have become %s, and comes back with one",
    async (kind) => {
      setAll(kind);
      await vi.advanceTimersByTimeAsync(CONFIG_APPLY_MS - 500);
      expect(changes).toEqual([true, false]);
      hubs.set("h5", Hub.Confirms);
      await vi.advanceTimersByTimeAsync(2 * TIMEOUT_MS + 1000);
      expect(changes).toEqual([true, false, true]);
    },
  );

  // Guards against the time until the next question where a lost connection shows a loss.
  it("ends at once when it is told to check again and no hub is left", async () => {
    setAll(Hub.Refuses);
    confirmation.recheck();
    await vi.advanceTimersByTimeAsync(1);
    expect(changes).toEqual([true, false]);
  });

  it("ends where this VM has become a hub", async () => {
    hubs.clear();
    confirmation.recheck();
    await vi.advanceTimersByTimeAsync(1);
    expect(changes).toEqual([true, false]);
  });
});
