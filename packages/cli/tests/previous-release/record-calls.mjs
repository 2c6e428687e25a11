// Loaded into a process before its program: writes the calls that it makes to other processes, and their answers, to a
// file of RECORD_FOLDER, one JSON value on each line.
import { appendFileSync } from "node:fs";
import { ClientRequest } from "node:http";
import { join } from "node:path";

const file = join(process.env.RECORD_FOLDER, `${process.pid}.jsonl`);
const write = value => appendFileSync(file, `${JSON.stringify(value)}\n`);
const bodies = new WeakMap();
const { end, emit } = ClientRequest.prototype;

ClientRequest.prototype.end = function(body, ...rest) {
    if (this.path === "/rpc") {
        bodies.set(this, body);
    }
    return end.call(this, body, ...rest);
};

ClientRequest.prototype.emit = function(event, res, ...rest) {
    const isFeed = this.path.startsWith("/exchange");
    if (event === "response" && (isFeed || bodies.has(this))) {
        let text = "";
        const { push } = res;
        res.push = (chunk, encoding) => {
            text += chunk ?? "";
            if (isFeed) {
                const lines = text.split("\n");
                text = lines.pop();
                lines.forEach(line => write({ feed: JSON.parse(line) }));
            }
            else if (chunk === null) {
                const { method, params } = JSON.parse(bodies.get(this));
                write({ method, params, result: JSON.parse(text || "{}").result });
            }
            return push.call(res, chunk, encoding);
        };
    }
    return emit.call(this, event, res, ...rest);
};
