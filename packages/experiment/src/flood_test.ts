import { CallerFlood, ServerFlood, StoreFlood } from "@bitternfall/stand-ins";
import { describe, expect, it } from "vitest";
import {
  describeCase,
  type FloodCase,
  FloodPeer,
  StoreCall,
} from "./flood_case.ts";
import { runFloodTrial } from "./flood_trial.ts";

const TEST_MS = 30_000;

const SERVERS = [
  { kind: ServerFlood.OneByteChunks, calls: 5 },
  { kind: ServerFlood.Interim100, calls: 1 },
  { kind: ServerFlood.Interim100, calls: 40 },
  { kind: ServerFlood.BlankLines, calls: 40 },
  { kind: ServerFlood.BodyByLength, calls: 40 },
  { kind: ServerFlood.BodyInChunks, calls: 40 },
].map((flood): FloodCase => ({ peer: FloodPeer.Plain, ...flood }));
const OBJECT_APIS = [
  ServerFlood.OneByteChunks,
  ServerFlood.Interim103,
  ServerFlood.ManyHeaders,
  StoreFlood.DeepJson,
].map((kind): FloodCase => ({
  peer: FloodPeer.ObjectApi,
  call: StoreCall.Any,
  kind,
}));
const CALLERS = [
  { kind: CallerFlood.OneByteChunks, calls: 1 },
  { kind: CallerFlood.ShortOneByteChunks, calls: 20 },
].map((flood): FloodCase => ({
  peer: FloodPeer.Caller,
  port: "callerPort",
  ...flood,
}));

async function expectNoFault(floodCase: FloodCase): Promise<void> {
  const { faults } = await runFloodTrial(floodCase);
  expect(faults).toEqual([]);
}

const toRow = (floodCase: FloodCase) =>
  [describeCase(floodCase), floodCase] as const;

describe("a gateway lives within its memory and serves other callers beside a", () => {
  // Guards against answers without end that fill the heap, or that are read without a pause.
  it.each(SERVERS.map(toRow))(
    "%s",
    (_, floodCase) => expectNoFault(floodCase),
    TEST_MS,
  );

  // Guards against an object API whose answers keep a gateway from its callers.
  it.each(OBJECT_APIS.map(toRow))(
    "%s",
    (_, floodCase) => expectNoFault(floodCase),
    TEST_MS,
  );

  // Guards against bodies within the limit that take more time to read than they have bytes.
  it.each(CALLERS.map(toRow))(
    "%s",
    (_, floodCase) => expectNoFault(floodCase),
    TEST_MS,
  );
});
