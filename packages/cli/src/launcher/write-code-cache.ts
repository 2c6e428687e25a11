import { writeFileSync } from "node:fs";
import { BundleScript, cachePath } from "./bundle-script.ts";

const bundle = new BundleScript(__dirname);
// Without a settings file the command ends once it has loaded what every process of a fleet loads.
process.argv = [process.argv[0] ?? "node", "lentilramp", "fleet"];
console.error = () => undefined;
bundle.run();
process.on("exit", () => {
    process.exitCode = 0;
    writeFileSync(cachePath(__dirname), bundle.compiledCode());
});
