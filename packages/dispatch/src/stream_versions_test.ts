import { beforeEach, describe, expect, it } from "vitest";
import { StreamVersions } from "./stream_versions.ts";

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
});
