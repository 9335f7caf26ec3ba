import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { LostLinks, readLostLinks } from "./lost_links.ts";

describe("the file that cuts a gateway", () => {
  let directory: string;

  beforeEach(() => {
    directory = fs.mkdtempSync(path.join(os.tmpdir(), "lost-links-"));
  });

  afterEach(() => {
    fs.rmSync(directory, { recursive: true });
  });

  // A gateway ended by itself when the soak removed the file just before it was read.
  it("may be gone when it is read", () => {
    const file = path.join(directory, "vm-1.links");
    fs.writeFileSync(file, LostLinks.Hang);
    expect(readLostLinks(file)).toBe("hang");
    fs.rmSync(file);
    expect(readLostLinks(file)).toBe("");
  });
});
