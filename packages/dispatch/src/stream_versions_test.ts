import { beforeEach, describe, expect, it } from "vitest";
import { ServerRole } from "@bitternfall/types";
import { StreamVersions } from "./stream_versions.ts";
import { Dispatcher } from "./dispatcher.ts";

const OLD = { id: "d1", bornAt: 1, softwareVersion: "v1" };
const NEW = { id: "d1", bornAt: 2, softwareVersion: "v2" };
const BEGIN = { version: "v1", serverId: "d1" };

describe("the version that began a stream", () => {
  let now: number;
  let versions: StreamVersions;

  beforeEach(() => {
    now = 0;
    versions = new StreamVersions({ now: () => now });
    versions.setServers([OLD]);
    versions.confirmServers();
    now = 1000;
    versions.record("s", BEGIN);
  });

  it("stays known if its server starts again later", () => {
    now = 11_000;
    versions.confirmServers();
    now = 12_000;
    versions.setServers([NEW]);
    expect(versions.find("s")).toBe("v1");
  });

  // Guards against a VM that hears late of a server's start and passes wrong versions on.
  it("is uncertain if the start of its server was heard of late", () => {
    now = 12_000;
    versions.setServers([NEW]);
    expect(versions.find("s")).toBeUndefined();
  });

  it("is uncertain if its server comes back with another version", () => {
    now = 2000;
    versions.setServers([]);
    versions.setServers([NEW]);
    expect(versions.find("s")).toBeUndefined();
  });

  // Guards against old objects that bring back what was uncertain.
  it.each([
    ["has the same version", [OLD], "v1"],
    ["has another version", [NEW], undefined],
    ["has gone", [], undefined],
  ])(
    "is restored, if it began recently, as its server %s",
    (_, servers, version) => {
      const other = new StreamVersions({ now: () => now });
      other.setServers(servers);
      other.restore(versions.createSnapshot(10));
      expect(other.find("s")).toBe(version);
      now = 11_000;
      versions.confirmServers();
      const settled = new StreamVersions({ now: () => now });
      settled.setServers(servers);
      settled.restore(versions.createSnapshot(10));
      expect(settled.find("s")).toBe("v1");
    },
  );

  // Guards against streams that begin while their server leaves and that nobody records.
  it("is recorded if its server has left the pool before the first event", async () => {
    const streams = new StreamVersions({ now: () => now });
    const decode = {
      ...OLD,
      role: ServerRole.Decode,
      availabilityZone: "a",
    };
    const prefill = { ...decode, id: "p1", role: ServerRole.Prefill };
    const config = {
      servers: [prefill, decode],
      firstOutputMs: 700,
      betweenOutputsMs: 32,
      decodeSlots: 2,
      perWorkspaceInFlight: 100,
      weights: { goodput: 0, wastedPrefill: 1 },
    };
    const dispatcher = new Dispatcher({
      service: "lm",
      config,
      now: () => now,
      streams,
    });
    const decision = await dispatcher.acquire({
      requestId: "s",
      attempt: 1,
      workspace: "w",
      owner: "vm-1",
      availabilityZone: "a",
      priority: 1,
      promptTokens: 400,
      outputTokens: 0,
      maxTokens: 100,
      deadline: now + 700,
      hashes: [],
      avoid: [],
    });
    expect(decision.kind).toBe("grant");
    dispatcher.configure({ ...config, servers: [prefill] });
    dispatcher.started(
      { requestId: "s", attempt: 1 },
      { cachedTokens: 0, transferMs: 0 },
    );
    expect(streams.find("s")).toBe("v1");
  });
});
