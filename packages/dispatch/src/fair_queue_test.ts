import { describe, expect, it } from "vitest";
import { createRandom } from "@bitternfall/stand-ins";
import { Priority } from "@bitternfall/types";
import { FairQueue, type QueueEntry } from "./fair_queue.ts";

const QUANTUM = 4000;

/**
 * The queue without ranks and accounts, as a reference: strict priority between classes, and
 * deficit round robin over workspaces, one round at a time.
 */
class ReferenceQueue {
  readonly #classes = [0, 1, 2].map(() =>
    new Map<
      string,
      { entries: QueueEntry[]; deficit: number; hasQuantum: boolean }
    >()
  );

  push(entry: QueueEntry): void {
    const lanes = this.#classes[entry.priority]!;
    const lane = lanes.get(entry.workspace) ??
      { entries: [], deficit: 0, hasQuantum: false };
    lanes.set(entry.workspace, lane);
    lane.entries.push(entry);
  }

  peek(): QueueEntry | undefined {
    const lanes = this.#classes.find(({ size }) => size > 0);
    while (lanes !== undefined) {
      const [name, lane] = [...lanes][0]!;
      if (!lane.hasQuantum) lane.deficit += QUANTUM;
      lane.hasQuantum = true;
      if (lane.deficit >= lane.entries[0]!.cost) return lane.entries[0]!;
      lane.hasQuantum = false;
      lanes.delete(name);
      lanes.set(name, lane);
    }
    return undefined;
  }

  remove(entry: QueueEntry, cost = 0): void {
    const lanes = this.#classes[entry.priority]!;
    const lane = lanes.get(entry.workspace)!;
    lane.deficit -= cost;
    lane.entries.splice(lane.entries.indexOf(entry), 1);
    if (lane.entries.length === 0) lanes.delete(entry.workspace);
  }

  listAhead({ workspace, priority }: QueueEntry): QueueEntry[] {
    const higher = this.#classes.slice(0, priority).flatMap((lanes) =>
      [...lanes.values()].flatMap(({ entries }) => entries)
    );
    const lanes = this.#classes[priority]!;
    const own = lanes.get(workspace)?.entries.length ?? 0;
    return [...lanes].reduce((ahead, [name, { entries }]) => {
      const count = name === workspace ? own : own + 1;
      return [...ahead, ...entries.slice(0, count)];
    }, higher);
  }
}

function drain(
  queue: FairQueue<QueueEntry>,
  count = Infinity,
): QueueEntry[] {
  const order: QueueEntry[] = [];
  for (
    let next = queue.peek();
    next !== undefined && order.length < count;
    next = queue.peek()
  ) {
    queue.take(next);
    order.push(next);
  }
  return order;
}

function createEntry(fields: Partial<QueueEntry>): QueueEntry {
  return { workspace: "chat", priority: Priority.Normal, cost: 1e6, ...fields };
}

describe("a queue of requests of one rank without accounts", () => {
  // Guards against other decisions on deployments that have no workspaces.
  it.each([1, 2, 3, 4, 5])(
    "replays drawn requests in the order that it had before (seed %i)",
    (seed) => {
      const random = createRandom(seed);
      const queue = new FairQueue<QueueEntry>({ quantum: QUANTUM });
      const reference = new ReferenceQueue();
      const queued: QueueEntry[] = [];
      for (let step = 0; step < 3000; step++) {
        const entry = createEntry({
          workspace: `w${Math.floor(random() ** 2 * 6)}`,
          priority: Math.floor(random() * 3),
          // From a fraction of a quantum to thousands of them.
          cost: Math.ceil(Math.exp(16 * random())),
          promptTokens: Math.ceil(6000 * random()),
          heldTokens: Math.ceil(8000 * random()),
        });
        const ahead = reference.listAhead(entry);
        const sum = (key: "promptTokens" | "heldTokens") =>
          ahead.reduce((total, other) => total + other[key]!, 0);
        expect(queue.sumAhead(entry)).toMatchObject({
          requests: ahead.length,
          promptTokens: sum("promptTokens"),
          heldTokens: sum("heldTokens"),
        });
        const action = random();
        if (action < 0.55) {
          for (const other of [queue, reference]) other.push(entry);
          queued.push(entry);
        } else if (queued.length > 0) {
          const next = queue.peek()!;
          expect(next).toBe(reference.peek());
          // Backfilling takes, and late requests leave, from any place.
          const other = action < 0.8
            ? next
            : queued[Math.floor(random() * queued.length)]!;
          const isTaken = action < 0.9;
          if (isTaken) queue.take(other);
          else queue.remove(other);
          reference.remove(other, isTaken ? other.cost : 0);
          queued.splice(queued.indexOf(other), 1);
        }
      }
      expect(queued.length).toBeGreaterThan(0);
    },
  );
});

describe("a queue of requests of several ranks", () => {
  it("serves started requests, then lower ranks, then normal before batch", () => {
    const queue = new FairQueue<QueueEntry>({ quantum: QUANTUM });
    const { Interactive, Normal, Batch } = Priority;
    const expected = [
      { rank: 0, priority: Interactive },
      { rank: 2, priority: Interactive },
      { rank: 0, priority: Normal },
      { rank: 0, priority: Batch },
      { rank: 2, priority: Normal },
      { rank: 2, priority: Batch },
    ];
    for (const fields of [...expected].reverse()) {
      queue.push(createEntry({ ...fields, cost: 1 }));
    }
    expect(drain(queue)).toMatchObject(expected);
  });

  // Guards against routine streams that starve while urgent ones overload the service.
  it("keeps a quarter of the granted cost for a lower rank under an urgent flood", () => {
    const queue = new FairQueue<QueueEntry>({ quantum: QUANTUM });
    for (let count = 0; count < 1000; count++) {
      queue.push(createEntry({ rank: 0 }));
      queue.push(createEntry({ rank: 1 }));
    }
    const served = drain(queue, 1000);
    const lower = served.filter(({ rank }) => rank === 1).length;
    expect(lower).toBeGreaterThanOrEqual(240);
    expect(lower).toBeLessThanOrEqual(260);
  });

  it("counts no less urgent work ahead, and more urgent work as far as it goes first", () => {
    const queue = new FairQueue<QueueEntry>({ quantum: QUANTUM });
    for (let count = 0; count < 100; count++) {
      queue.push(createEntry({ rank: 1 }));
    }
    expect(queue.sumAhead(createEntry({ rank: 0 })).requests).toBe(0);
    for (let count = 0; count < 1000; count++) {
      queue.push(createEntry({ rank: 0 }));
    }
    // The first of rank 2 is served after 15 of more urgent ranks at the latest.
    expect(queue.sumAhead(createEntry({ rank: 2 })).requests).toBe(15);
    const inRank = queue.sumAhead(createEntry({ rank: 1 }), {
      ignoresMoreUrgent: true,
    });
    expect(inRank.requests).toBe(100);
  });
});

describe("a queue of many accounts' requests", () => {
  function createFlooded(): FairQueue<QueueEntry> {
    const queue = new FairQueue<QueueEntry>({ quantum: QUANTUM });
    for (let turn = 0; turn < 60; turn++) {
      queue.push(createEntry({ account: "flood" }));
      if (turn >= 40) continue;
      queue.push(createEntry({ account: `a${turn % 15}` }));
    }
    return queue;
  }

  // Guards against one workspace at 7.5 times its usual that makes the other 15 late.
  it("gives an account that floods no more than its share", () => {
    const served = drain(createFlooded(), 48).filter(({ account }) =>
      account === "flood"
    );
    // The first eight are queued before it is known that the account floods.
    expect(served.length).toBeLessThanOrEqual(8 + 48 / 16 + 1);
    expect(served.length).toBeGreaterThanOrEqual(8);
  });

  it("counts the queue of an account that floods against that account alone", () => {
    const queue = createFlooded();
    const ofSmall = queue.sumAhead(createEntry({ account: "a1" })).requests;
    const ofFlood = queue.sumAhead(createEntry({ account: "flood" })).requests;
    expect(ofSmall).toBeLessThanOrEqual(8 + 40 + 5);
    expect(ofFlood).toBe(100);
  });

  it("offers some of each account for backfilling before more of one that floods", () => {
    const first = [...createFlooded()].slice(0, 24);
    const flood = first.filter(({ account }) => account === "flood");
    expect(flood.length).toBeLessThanOrEqual(12);
  });

  // Guards against streams that are late since accounts of equal demand take turns.
  it("serves accounts of about equal demand in order of arrival", () => {
    const random = createRandom(7);
    const queue = new FairQueue<QueueEntry>({ quantum: QUANTUM });
    const entries = Array.from(
      { length: 200 },
      () => createEntry({ account: `a${Math.floor(16 * random())}` }),
    );
    for (const entry of entries) queue.push(entry);
    expect(drain(queue)).toEqual(entries);
  });
});
