// A process of a fleet reads its settings again on SIGHUP. Before it has read them there is nothing to do, but the default
// action would end the process. A signal that comes before Node.js runs this module still ends it.
if (process.argv[2] === "fleet") {
    process.on("SIGHUP", () => undefined);
}
