/**
 * Preloaded last into a gateway process to create the file `SOAK_MARK` when the process
 * begins to run code of its own.
 * @module
 */
import * as fs from "node:fs";
import process from "node:process";

const file = process.env.SOAK_MARK ?? "";
if (file !== "") fs.writeFileSync(file, "");
