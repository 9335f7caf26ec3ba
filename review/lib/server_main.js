// Runs one PlainServer as a process. The argument is JSON: id, service, zone, port, workMs.
import { PlainServer } from "./servers.js";

const { port = 0, workMs = 60, slots = 6, ...options } = JSON.parse(process.argv[2]);
const server = new PlainServer(options);
server.workMs = workMs;
server.slots = slots;
server.onRun = ({ requestId, method, path }) =>
  process.stdout.write(`run ${requestId} ${method} ${path}\n`);
await server.listen(port);
process.stdout.write(`port ${server.port}\n`);
